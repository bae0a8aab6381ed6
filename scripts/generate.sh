#!/usr/bin/env bash
# Regenerates the committed code of the protocol between processes. Needs
# grpcio-tools and mypy-protobuf in addition to the locked requirements.
set -eu
cd "$(dirname "$0")/.."
out=src/mulberrypass/peer
python -m grpc_tools.protoc -Iproto --python_out=$out --mypy_out=$out \
  --grpclib_python_out=$out proto/peer.proto
sed -i 's/^import peer_pb2$/from mulberrypass.peer import peer_pb2/' $out/peer_grpc.py
