// Command protogen generates the Go code of .proto files with protoc-gen-go, so
// that no compiler has to be installed: protogen PLUGIN DIR FILE.proto... writes
// into DIR.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: protogen PLUGIN DIR FILE.proto...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2], os.Args[3:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func generate(plugin, dir string, files []string) error {
	request, err := compile(dir, files)
	if err != nil {
		return errors.Annotate(err, "compile")
	}
	input, err := proto.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	cmd := exec.Command(plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(input), os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return errors.Annotatef(err, "run %s", plugin)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return errors.Trace(err)
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func compile(dir string, files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{dir}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	parameter := "paths=source_relative"
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, Parameter: &parameter}
	for _, f := range compiled {
		request.ProtoFile = append(request.ProtoFile, proto.CloneOf[*descriptorpb.FileDescriptorProto](protoutil.ProtoFromFileDescriptor(f)))
	}
	return request, nil
}
