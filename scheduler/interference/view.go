package interference

// View predicts from what a Model had learnt at a time. It does not change,
// so that any number of goroutines may use it.
type View struct {
	victims map[string]solution
}

// solution holds a victim's coefficients.
type solution struct {
	perCore map[string]float64 // by neighbouring job
	load    float64
}

// View returns the predictions of the model as it is now.
func (m *Model) View() *View {
	if m.view != nil {
		return m.view
	}
	m.view = &View{victims: make(map[string]solution, len(m.victims))}
	for job, v := range m.victims {
		m.view.victims[job] = v.solved
	}
	return m.view
}

// publish makes the present solution the one that views see.
func (v *victim) publish() {
	s := solution{load: v.solution[loadColumn], perCore: make(map[string]float64, len(v.columns))}
	for job, c := range v.columns {
		s.perCore[job] = v.solution[c]
	}
	v.solved = s
}

// Slowdown predicts how much slower a task of the victim's job gets from a
// task of the other job that uses so many cores beside it; 0.1 is 10%.
func (w *View) Slowdown(victimJob, other string, cores float64) float64 {
	perCore, ok := w.victims[victimJob].perCore[other]
	if !ok {
		perCore = UnknownPerCore
	}
	return perCore * cores
}

// LoadSlowdown predicts how much slower a task of the job gets from the
// VM's load alone, a share of its processor time.
func (w *View) LoadSlowdown(victimJob string, load float64) float64 {
	return w.victims[victimJob].load * max(load-quietLoad, 0)
}
