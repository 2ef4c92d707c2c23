@0xb7c1f0d2a94e6c31;

# Datagrams between processes consist of a 16-byte authentication code, one byte for the
# kind of the message, one for its length in words, its only segment, and the payload.
# The code covers all but the payload, which QUIC protects end to end.
# Addresses are IPv4 and port packed as ip << 16 | port.

struct Forward {
  generation @0 :UInt64;
  client @1 :UInt64;
  service @2 :UInt32;
  balancer @3 :UInt64;
  hop @4 :UInt8;
  alternates @5 :List(UInt64);
  payloadSize @6 :UInt16;
}

struct Reply {
  generation @0 :UInt64;
  client @1 :UInt64;
  service @2 :UInt32;
  payloadSize @3 :UInt16;
}

struct Probe {
  generation @0 :UInt64;
  nonce @1 :UInt64;
  role @2 :Role;
  # Liveness number at which the receiver is suspected, 0 if it is not.
  suspected @3 :UInt64;
}

enum Role {
  balancer @0;
  agent @1;
}

struct ProbeAck {
  generation @0 :UInt64;
  nonce @1 :UInt64;
  incarnation @2 :UInt64;
  state @3 :TargetState;
  connections @4 :UInt32;
  inFlight @5 :UInt16;
  limit @6 :UInt16;
  queued @7 :UInt16;
  # Number that the sender raises to refute a suspicion.
  liveness @8 :UInt64;
  # Rate of requests served recently, in thousandths of a request per second.
  servedRate @9 :UInt32;
}

enum TargetState {
  serving @0;
  cold @1;
  full @2;
  leaving @3;
  down @4;
}

struct Gossip {
  generation @0 :UInt64;
  updates @1 :List(Update);
  # Zones that the sender suspects as a whole.
  zones @2 :List(UInt16);
}

# A status change of an agent.
struct Update {
  target @0 :UInt64;
  # Liveness number of the agent, despite the name of the field.
  incarnation @1 :UInt64;
  condition @2 :Condition;
}

enum Condition {
  alive @0;
  suspect @1;
}

# Frames on TCP links between processes.

struct Frame {
  generation @0 :UInt64;
  sequence @1 :UInt64;
  union {
    request @2 :Request;
    responseHead @3 :ResponseHead;
    responseData @4 :ResponseData;
    failure @5 :Failure;
    cancel @6 :UInt64;
    pull @7 :Pull;
    document @8 :Document;
  }
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Request {
  id @0 :UInt64;
  service @1 :UInt32;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  key @6 :Text;
  remainingMs @7 :UInt32;
  resume @8 :Bool;
  incarnation @9 :UInt64;
  ageMs @10 :UInt32;
}

struct ResponseHead {
  id @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
}

struct ResponseData {
  id @0 :UInt64;
  data @1 :Data;
  end @2 :Bool;
}

struct Failure {
  id @0 :UInt64;
  kind @1 :Text;
  notRun @2 :Bool;
  retryAfterMs @3 :UInt32;
}

struct Pull {
  id @0 :UInt64;
  # Empty for the index, "hosts" for the host list, otherwise the digest of a chunk.
  chunk @1 :Text;
  # Digest of the index that the sender has, on which a delta may be based.
  have @2 :Text;
}

struct Document {
  id @0 :UInt64;
  kind @1 :DocumentKind;
  # Compressed with zlib.
  body @2 :Data;
}

enum DocumentKind {
  whole @0;
  delta @1;
  missing @2;
}
