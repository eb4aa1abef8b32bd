package locality

import "testing"

func TestDistance(t *testing.T) {
	p := Place{DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "r", "c": "s"}}
	for dataCentre, want := range map[string]Distance{"a": Near, "b": Regional, "c": Far, "not known": Far, "": Far} {
		if got := p.Distance(dataCentre); got != want {
			t.Errorf("%s is %v, want %v", dataCentre, got, want)
		}
	}
	if got := p.DistanceTo("", ""); got != Unknown {
		t.Errorf("an unknown location is %v", got)
	}
	if got := p.DistanceTo("s", "c"); got != Far {
		t.Errorf("a VM of another region is %v", got)
	}
}
