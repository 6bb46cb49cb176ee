package leverpool

// Held returns the bytes that are counted against MaxBodyBytes.
func (p *Pool) Held() int64 { return p.bodyBytes.Load() }
