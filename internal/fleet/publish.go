package fleet

// Edit publishes a document again as edit makes it from its last text.
func (f *Fleet) Edit(name string, edit func(text string) string) {
	f.documents[name] = edit(f.documents[name])
	f.Platform.Publish(name, []byte(f.documents[name]))
}
