package interference

// View predicts from the state of a Model at one time. It is immutable and
// safe for concurrent use.
type View struct {
	victims map[string]solution
}

// solution holds the coefficients of a victim.
type solution struct {
	perCore map[string]float64 // by neighbouring job
	load    float64
}

// View returns a view of the current state of the model.
func (m *Model) View() *View {
	if m.view != nil {
		return m.view
	}
	m.view = &View{victims: make(map[string]solution, len(m.victims))}
	for job, v := range m.victims {
		m.view.victims[job] = v.published
	}
	return m.view
}

// publish makes the current solution available to new views.
func (v *victim) publish() {
	s := solution{load: v.solution[loadColumn], perCore: make(map[string]float64, len(v.columns))}
	for job, c := range v.columns {
		s.perCore[job] = v.solution[c]
	}
	v.published = s
}

// Slowdown predicts how much slower a task of the victim's job becomes by a
// task of the other job that uses the given cores on the same VM; 0.1 is 10%.
func (w *View) Slowdown(victimJob, other string, cores float64) float64 {
	perCore, ok := w.victims[victimJob].perCore[other]
	if !ok {
		perCore = DefaultPerCore
	}
	return perCore * cores
}

// LoadSlowdown predicts how much slower a task of the job becomes by the load
// of its VM, a share of the CPU.
func (w *View) LoadSlowdown(victimJob string, load float64) float64 {
	return w.victims[victimJob].load * max(load-loadThreshold, 0)
}
