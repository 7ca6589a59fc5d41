// Messages between the daemons of a fleet (docs/design.md, section 4.5).
namespace cpp citronford.wire

struct MemberId {
  1: string node
  2: i64 incarnation
}

struct Endpoint {
  1: string address
  2: i32 port
}

struct Hello {
  1: string zone
  2: Endpoint address
  3: i64 registered
}

struct Heartbeat {
  1: i64 probe_us
  2: i64 echo_us
  3: i64 version
  4: i64 confirmation_age_us
  5: bool commit_in_doubt
  6: list<MemberId> unrecorded
}

struct Row {
  1: string key
  2: optional string value
  3: i64 version
}

struct ConfigurationUpdate {
  1: i64 base
  2: i64 version
  3: i64 version_row
  4: list<Row> rows
}

struct ConfigurationAck {
  1: i64 version
}

struct UnitRequest {
  1: string team
  2: i64 wanted
  3: i64 asked_us
}

struct UnitTransfer {
  1: string team
  2: i64 total
  3: i64 asked_us
}

struct UnitTransferAck {
  1: string team
  2: i64 total
}

struct JobHandover {
  1: list<string> jobs
  2: list<string> workers
  3: bool confirms
}

struct Goodbye {
  1: i64 version
}

union Message {
  1: Hello hello
  2: Heartbeat heartbeat
  3: ConfigurationUpdate configuration_update
  4: ConfigurationAck configuration_ack
  5: UnitRequest unit_request
  6: UnitTransfer unit_transfer
  7: UnitTransferAck unit_transfer_ack
  8: JobHandover job_handover
  9: Goodbye goodbye
}

struct Envelope {
  1: MemberId sender
  2: Message message
}
