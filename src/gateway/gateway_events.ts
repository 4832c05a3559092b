/// Every event that a gateway logs, with its cause and fields. The gateway logs
/// each decision about a request that failed, was late or was retried, and each
/// change of its view of the fleet. Successful requests are only counted.
/// docs/OPERATIONS.md shows how to read the events.
export const GATEWAY_EVENTS = {
  "started": "the process listens; incarnation and addresses",
  "stopping": "SIGTERM received; requests in flight",
  "stopped": "the process exits; requests that had not ended",
  "settings file read again; addresses change at a restart":
    "SIGHUP received and the file is valid",
  "settings file not usable": "SIGHUP received and the file is invalid; reason",
  "store connected": "a store call succeeded; duration of the outage",
  "store lost":
    "a store call failed; reason, time without a response, revision followed",
  "store dropped its history":
    "the watch revision was compacted; all contents are read again",
  "following the store": "this VM starts to watch the store; its revision",
  "store left to others":
    "this VM stops watching because other VMs send changes; its revision",
  "store restored":
    "the store came back from an earlier copy; its era and revision, those known",
  "store read": "all contents were read from the store; revision, values",
  "view taken from a peer":
    "a VM with a newer revision sent changes; its name, the new revision",
  "view not taken from a peer":
    "the call to a VM for its changes failed; its name, reason",
  "configuration changed":
    "a version is in force; the one before, the VM that sent it, era, revision",
  "configuration outdated":
    "a stored version isn't newer than the one in force; both, its source",
  "configuration not readable":
    "the stored configuration is ignored; reason, its source",
  "upstream changed":
    "an upstream is ready, draining or removed; source, revision",
  "caller sent bytes without end":
    "bytes that belong to no request; its connection is closed",
  "entry names no upstream":
    "an entry of another writer does not describe an upstream; key",
  "entry outdated":
    "a restored store lists an upstream that was draining or gone; key",
  "upstream suspended":
    "it is unreachable, breaks off responses or fails for other VMs; " +
    "cause, for how long, results of other VMs",
  "upstream regained": "it responded after a suspension",
  "upstream reached through another VM":
    "this VM has no path to it, but the other one does; address, VM",
  "upstream reached directly": "this VM's path to it is back; address",
  "VM listed": "the store lists this VM for its peers; lease",
  "VM not listed": "the call to list this VM or renew its entry failed; reason",
  "VM entry removed":
    "this VM's entry is missing, as after a restore; it is listed again",
  "VM entry lapsed": "the lease expired, for example in an outage",
  "VM entry not readable": "the entry of a VM is ignored; key, reason",
  "VM entry stays until it lapses": "the entry could not be removed; reason",
  "request refused": "refused before placement; status, reason, version",
  "body not read": "the caller aborted the request body; bytes read",
  "try ended":
    "an attempt failed; upstream, result, reason, time, budget and view then",
  "try silent":
    "an upstream sent nothing for longer than expected; the attempt goes on",
  "replacement not prepared":
    "a fault of the gateway; a silent attempt goes on alone; reason",
  "request ended":
    "a request ended that failed, was late or needed several attempts; " +
    "outcome, times, the last placement and its inputs",
  "request failed by a fault of the gateway": "a bug; stack",
  "memory not reserved":
    "an engine refused a reservation or did not respond; tokens, reason",
  "reservation not renewed": "it may expire before its request ends; reason",
  "unused reservation not renewed":
    "no request uses it, so that its memory becomes free for others",
  "reservation not released": "it expires within the time given",
  "owner passed over":
    "the owner of a data centre's placement didn't reply; its name. The next " +
    "hub is asked for a second",
  "link messages": "messages received over links in ten seconds, by name",
  "unexpected error": "nothing caught it; stack, number in ten seconds",
  "stopping after too many unexpected errors":
    "the process stops as on SIGTERM",
  "stop failed": "the process exits without a complete stop; reason",
  "metrics not written": "the metrics could not be collected; reason",
} as const;
