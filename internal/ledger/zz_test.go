package ledger
import ("testing";"fmt")
func TestStats(t *testing.T){
 var starts,ref,keys,served int; maxv:=uint64(0); sumv:=uint64(0)
 var fails []string
 for seed:=uint64(0);seed<1000;seed++{
		w := newWorld(*simSeed*7+seed, 3+int(seed%3))
		w.loss = float64(seed%3) * 0.05
		script := make([]uint64, 40)
		for i := range script { script[i] = w.rng.Uint64() }
		w.scenario(script)
		w.endFaults(); w.advance(recovery)
		if w.failure==""{ w.checkService()}
		if w.failure!="" {fails=append(fails,fmt.Sprint(seed," ",w.failure))}
		starts+=w.hist.starts; ref+=w.hist.refusals; keys+=len(w.keys); served+=len(w.hist.served)
		sumv+=w.table.view.Version; if w.table.view.Version>maxv{maxv=w.table.view.Version}
 }
 fmt.Println("starts",starts,"refusals",ref,"keys",keys,"served",served,"views",sumv,maxv, "fails", len(fails)); for i,f:=range fails{ if i<15{fmt.Println(f)}}
}
func TestBase(t *testing.T){
 n:=0
 for seed := range uint64(20000) {
  if f:=runSeed(*simSeed+seed, without{}, false, false); f!="" { n++; if n<12 {fmt.Println(seed,f)} }
 }
 fmt.Println("base fails",n)
}
func runSeed(s uint64, h without, rb, service bool) string {
		w := newWorld(s, 3+int((s-*simSeed)%3)); seed:=s-*simSeed
		w.hooks=h; w.noReadBack=rb
		w.loss = float64(seed%3) * 0.05
		script := make([]uint64, 40)
		for i := range script { script[i] = w.rng.Uint64() }
		w.scenario(script)
		w.endFaults(); w.advance(recovery)
		if service && w.failure==""{ w.checkService()}
 return w.failure
}
