package fleet

// EditDocument applies edit to the published text of a document and publishes the
// result.
func (f *Fleet) EditDocument(name string, edit func(text string) string) {
	f.documents[name] = edit(f.documents[name])
	f.Platform.Publish(name, []byte(f.documents[name]))
}
