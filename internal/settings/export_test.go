package settings

// Parse reads the settings of a node from the text of a file and from overrides, and returns all problems.
func Parse(file string, text []byte, overrides []Override) (Node, []Problem) {
	return parse(file, text, overrides, DefaultNode(), nodeFields)
}

// ParseGateway reads the settings of a gateway as Parse reads those of a node.
func ParseGateway(file string, text []byte, overrides []Override) (Gateway, []Problem) {
	return parse(file, text, overrides, DefaultGateway(), acceptedFields())
}
