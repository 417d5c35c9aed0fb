// Package api holds the protobuf definitions of every outside interface; the code generated from them is committed.
package api

//go:generate sh -c "cd .. && protoc -I api --go_out=. --go_opt=module=stiletrail --connect-go_out=. --connect-go_opt=module=stiletrail api/stiletrail/v1/*.proto"
