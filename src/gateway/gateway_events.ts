/// Every event that a gateway logs, and what its fields say. One line is
/// written for each decision that touches a request which didn't go well, and
/// for each change of what the process believes; requests that went well are
/// only counted. docs/OPERATIONS.md shows how to read them.
export const GATEWAY_EVENTS = {
  "started": "the process listens; incarnation and addresses",
  "stopping": "SIGTERM came; requests in flight",
  "stopped": "the process ends; requests that had not ended",
  "settings file read again; addresses change at a restart":
    "SIGHUP came and the file is valid",
  "settings file not usable": "SIGHUP came; reason",
  "store connected": "the store answers; for how long it had not",
  "store lost": "the store failed to answer; reason, revision followed so far",
  "store dropped its history": "a watch was too old; everything is read again",
  "following the store": "this VM asks the store for changes; revision held",
  "store left to others": "other VMs tell of changes; revision held",
  "store read": "everything was read from the store; revision, values",
  "view taken from a peer": "another VM knew more; its name, what holds now",
  "view not taken from a peer": "another VM knew more and didn't answer",
  "configuration changed": "a version is in force; its source and revision",
  "configuration not readable": "the stored configuration is ignored; reason",
  "upstream changed": "an upstream is ready, leaving or gone; its source",
  "entry names no upstream": "an entry was written by something else; key",
  "upstream suspended": "it takes no connections; for how long",
  "upstream regained": "it answered after a suspension",
  "VM listed": "the store lists this VM for its peers; lease",
  "VM not listed": "listing this VM failed; reason",
  "VM entry lapsed": "the lease ended, for example in an outage",
  "VM entry not readable": "a listed VM is ignored; key, reason",
  "VM entry stays until it lapses": "it could not be taken away; reason",
  "request refused": "refused before it was placed; status, reason, version",
  "body not read": "the caller broke off its body; bytes read",
  "try ended":
    "one try failed; upstream, result, reason, time, budget and view of then",
  "request ended":
    "the end of a request that failed, was late or needed several tries; " +
    "outcome, times, the last placement and its inputs",
  "request failed by a fault of the gateway": "a bug; stack",
  "memory not reserved": "an engine refused a reservation; tokens, reason",
  "reservation not renewed": "it may lapse under its request; reason",
  "reservation not released": "it lapses by itself within the time given",
  "metrics not written": "the metrics could not be read; reason",
} as const;
