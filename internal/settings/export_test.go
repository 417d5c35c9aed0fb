package settings

// Parse reads settings of a node from the text of a file and overrides, and returns all problems.
func Parse(file string, text []byte, overrides []Override) (Settings, []Problem) {
	return parse(file, text, overrides, Default(), fields)
}

// ParseGateway is Parse for a gateway.
func ParseGateway(file string, text []byte, overrides []Override) (Gateway, []Problem) {
	return parse(file, text, overrides, DefaultGateway(), accepted())
}
