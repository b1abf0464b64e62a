/** The catalogue of log events. docs/EVENTS.md is generated from it, and a test checks that it is up to date. */

export type EventLevel = "error" | "warn" | "info" | "debug";

/** One kind of log event. The numbers of removed events are never reused. */
export interface EventKind {
  readonly number: number;
  readonly level: EventLevel;
  readonly text: string;
  /** Recommended action for operators. */
  readonly advice: string;
}

function event(number: number, level: EventLevel, text: string, advice = "None."): EventKind {
  return { number, level, text, advice };
}

/** Numbers: 1xxx box, 2xxx log and desired state, 3xxx membership, 4xxx leases and orders, 5xxx requests. */
export const events = {
  boxStarted: event(1001, "info", "The box has started; it is not ready yet."),
  boxReady: event(1002, "info", "The box has loaded the desired state and serves requests."),
  boxDraining: event(
    1003,
    "info",
    "The box is shutting down: it is no longer advertised and drains its requests.",
  ),
  boxStopped: event(1004, "info", "The box has stopped."),
  configurationUnconfirmed: event(
    1024,
    "warn",
    "The store did not tell whether the configuration is the newest; a request that it does not allow is refused with a time to come back.",
    "Check the store.",
  ),
  softwareVersionsUnread: event(
    1016,
    "warn",
    "The store's records of software versions could not be read; streams that nobody knows are refused meanwhile.",
    "Check the store.",
  ),
  streamVersionsUnread: event(
    1018,
    "warn",
    "The store's records of streams could not be read; a stream that no box knows is refused with a time to come back.",
    "Check the store.",
  ),
  streamVersionsNotKept: event(
    1019,
    "warn",
    "The software versions that began streams could not be recorded in the store; this is tried again.",
    "Check the store.",
  ),
  softwareVersionsNotKept: event(
    1017,
    "warn",
    "The software versions of a service could not be recorded in the store; this is tried again.",
    "Check the store.",
  ),
  boxIsolated: event(
    1005,
    "warn",
    "The box reaches neither the log nor a majority of boxes that confirm an outage; it rejects requests.",
    "Check this box's network.",
  ),
  boxRejoined: event(1006, "info", "The box is no longer isolated and serves requests again."),
  invariantBroken: event(
    1007,
    "error",
    "An invariant was violated; the process stops.",
    "Report a bug with the last log lines; the box may be restarted.",
  ),
  requestDefect: event(
    5048,
    "error",
    "An exception was thrown while a request was handled; that request was ended, and the box serves on.",
    "Report a bug with the stack in this line.",
  ),
  addressUnavailable: event(
    1008,
    "error",
    "The box cannot listen on one of its addresses; it exits with code 69.",
    "Find the process that uses the address, or change the address in the settings.",
  ),
  settingsSignalled: event(
    1009,
    "info",
    "The process received a signal to reload the settings file.",
  ),
  settingsChanged: event(
    1010,
    "info",
    "The settings file has changed; new seeds are in use.",
    "To apply the keys listed in `atNextStart`, restart the box.",
  ),
  settingsUnusable: event(
    1011,
    "warn",
    "The settings file cannot be read or is invalid; the box keeps its current settings.",
    "Fix the file; `linkfall check-settings --forwarding FILE` lists all problems.",
  ),
  longTask: event(
    1023,
    "info",
    "One task blocked the event loop; `task` is what it did.",
    "See the advice of loopHeldUp.",
  ),
  loopHeldUp: event(
    1012,
    "info",
    "The event loop was blocked; input that arrived meanwhile is processed late.",
    "If a box logs this repeatedly, give it more CPU or fewer callers.",
  ),
  boxCutOffFromTargets: event(
    1013,
    "warn",
    "The box reaches no target while other boxes do: connections to the targets of `failed` and `checked` were refused or not established.",
    "Check this box's network; `relaying` names boxes that reach targets.",
  ),
  noTargetReachable: event(
    1014,
    "warn",
    "The box reaches no target, and no other live box says that it reaches one.",
    "Check the targets and the network between boxes and targets.",
  ),
  boxReachesTargetsAgain: event(
    1015,
    "info",
    "The box reaches targets again, `afterMs` after its first failed connection.",
  ),
  logUnreachable: event(
    2001,
    "warn",
    "The platform's log does not respond.",
    "See operators/when-the-log-is-down.md.",
  ),
  logReachable: event(2002, "info", "The platform's log responds again."),
  badRecord: event(
    2003,
    "warn",
    "A record of the log could not be parsed and was skipped.",
    "Find the process that appended it; the desired state is not affected.",
  ),
  restoredFromSnapshot: event(2004, "info", "The state was restored from a snapshot in the log."),
  restoredFromPeer: event(2005, "info", "The state was restored from a peer."),
  snapshotWritten: event(2006, "info", "A snapshot was appended to the log."),
  changeInForce: event(2007, "info", "A change of the desired state took effect on this box."),
  changeRejected: event(
    2008,
    "info",
    "A change of the desired state was rejected because of a newer revision.",
  ),
  storeWentBack: event(
    2010,
    "warn",
    "The store has come back from an older copy: records that it had acknowledged are lost.",
    "Check the store; boxes read it anew and write their own records again.",
  ),
  configurationInForce: event(2009, "info", "A configuration took effect on this box."),
  memberJoined: event(3001, "info", "A box was discovered."),
  memberSuspected: event(
    3002,
    "warn",
    "A box's heartbeat has stopped advancing.",
    "Check that box.",
  ),
  memberGone: event(
    3003,
    "info",
    "A box was removed from the membership, or replaced by a later incarnation.",
  ),
  connectionChanged: event(
    3008,
    "info",
    "This box regained or lost contact with the majority of boxes.",
    "While a box is cut off, check its network; it enforces only its part of each account's limit.",
  ),
  badPeerMessage: event(
    3009,
    "warn",
    "A message of another box was invalid or could not be handled; it was not applied and has no answer.",
    "Check the build of that box; with a stack in this line, report a bug.",
  ),
  badBoxEntry: event(
    3010,
    "warn",
    "An entry of the platform's list of boxes or leaving targets is invalid and was skipped.",
    "Find the process that writes the entry.",
  ),
  leaseTaken: event(4001, "info", "This box acquired the lease of a pool."),
  leaseLost: event(4002, "warn", "This box lost the lease of a pool."),
  leaseReleased: event(4003, "info", "This box released the lease of a pool."),
  leaseProbed: event(
    4022,
    "info",
    "This box does not hear the holder of the lease and asks it through the store to renew it.",
  ),
  leaseRenewed: event(
    4023,
    "info",
    "This box renewed its lease because another box does not hear it.",
    "If it repeats, check the links between the boxes.",
  ),
  fenceStands: event(
    4004,
    "info",
    "All fenced engines of the pool have accepted the epoch of the lease.",
  ),
  fenceRefused: event(4005, "warn", "An engine rejected an order with an outdated epoch."),
  orderSent: event(4006, "info", "An order was sent to an engine."),
  orderSettled: event(4007, "debug", "An order was settled."),
  orderRefused: event(
    4008,
    "warn",
    "An engine rejected an order.",
    "Check the reason; the declared memory sizes may be wrong.",
  ),
  unplaceable: event(
    4009,
    "warn",
    "Not all declared models fit into the pool.",
    "Add accelerators or remove models.",
  ),
  targetLeaving: event(4010, "info", "A target is leaving; it receives no new requests."),
  engineRestarted: event(4011, "warn", "An engine has restarted with empty memory."),
  targetSeen: event(4012, "info", "A target was listed for the first time."),
  targetMissing: event(4013, "info", "A target is missing from the list."),
  targetDeparted: event(
    4020,
    "info",
    "A target's entry disappeared while the store served the list: it has left and receives no new requests.",
  ),
  targetReturned: event(
    4021,
    "info",
    "A target that had left is listed again, by its heartbeats or for long enough, and receives requests.",
  ),
  targetGone: event(4014, "info", "A target is considered gone."),
  orderAnswered: event(4015, "info", "An engine replied to an order, or the order timed out."),
  orderWithheld: event(
    4024,
    "info",
    "An order was not sent to its engine, as the lease under which it was decided had ended.",
  ),
  moveBegun: event(4016, "info", "A swap of models on an engine has started."),
  moveEnded: event(4017, "info", "A swap of models on an engine has ended."),
  targetStartedAgain: event(
    4018,
    "warn",
    "A target restarted with the same id; the state of its previous incarnation was discarded.",
  ),
  badTargetEntry: event(
    4019,
    "warn",
    "An entry of the list of targets is invalid; the target is not used until its entry is valid.",
    "Find the process that writes the entry.",
  ),
  targetEjected: event(5001, "warn", "A failing target was ejected temporarily."),
  requestRefused: event(5002, "debug", "A request was rejected."),
  requestHeld: event(5005, "info", "A request is waiting for model weights."),
  targetChosen: event(5006, "info", "A target was chosen for a request."),
  sendEnded: event(5007, "info", "An attempt to send a request to a target has ended."),
  requestEnded: event(5008, "info", "A request has ended."),
  quotaAlone: event(
    5009,
    "warn",
    "No box that allocates the account's limit responds; this box admits a small part of the limit.",
    "Check the network between boxes; see operators/accounts.md.",
  ),
  quotaShort: event(
    5016,
    "info",
    "The units of a nearly exhausted account limit that this box has allocated, about once a second.",
  ),
  requestRejected: event(
    5010,
    "info",
    "A request was rejected before it was forwarded because of its headers, body, route, API key or account limit.",
  ),
  connectionsWaited: event(
    5011,
    "warn",
    "Callers' connections waited in the listen queue for at least `waitedMs`: the box accepts one per event loop iteration, and the iterations were long.",
    "Check linkfall_accept_turn_ms, linkfall_connection_wait_ms and the other load of the box.",
  ),
  callerLeft: event(
    5012,
    "info",
    "A caller disconnected before it had received the complete response.",
  ),
  sendLost: event(
    5013,
    "info",
    "The response of a target was lost; if the target still accepts connections, only the connection failed. Names the weights and the shared prompt parts of the request.",
  ),
  crashingRequestRefused: event(
    5037,
    "info",
    "A request was refused because targets crashed under it, or under a prompt part or an adapter that it shares with others.",
  ),
  requestHeldBack: event(
    5014,
    "warn",
    "A request, or all that share a prompt part or an adapter (`kind`, `text`), are held back on all boxes: several targets crashed under them.",
    "Find out why that crashes the engine; release it by its fingerprint once that is fixed (operators/held-requests.md).",
  ),
  requestReleased: event(5015, "info", "What was held back was released."),
  heldNotKept: event(
    5017,
    "warn",
    "The holding back or release of a request could not be stored; running boxes apply it, but restarted boxes do not load it.",
    "Check the store or the log; the write is retried as long as the box runs (for a minute if it goes to the log).",
  ),
  heldUnread: event(
    5018,
    "warn",
    "The list of held-back requests could not be read at startup; the read is retried, and other boxes send their entries.",
  ),
  targetLimited: event(
    5019,
    "warn",
    "A target advertised a limit on requests per second from all boxes together.",
    "Check the target; see operators/limited-targets.md.",
  ),
  targetLimitEnded: event(5020, "info", "A target no longer limits its requests."),
  targetLimitUnreadable: event(
    5021,
    "warn",
    "A target advertised a limit that cannot be parsed; the previous limit stays in effect.",
    "Check the target's software.",
  ),
  targetAnnouncedLeaving: event(
    5022,
    "info",
    "A target said in a response, to this box or to another one, that it is leaving.",
  ),
  sentToLeavingTarget: event(
    5023,
    "warn",
    "A request was sent to a target that was known to be leaving.",
    "Report a bug with the log lines of the target.",
  ),
  sentToMissingTarget: event(
    5038,
    "debug",
    "A request was sent to a target whose list entry had disappeared.",
  ),
  targetAskedForRest: event(
    5024,
    "info",
    "A target rejected a request and asked to get no requests for a time.",
  ),
  sentToRestingTarget: event(
    5025,
    "warn",
    "A request was sent to a target within the time for which it had asked to get none.",
    "Report a bug with the log lines of the target.",
  ),
  retryAfterUnreadable: event(
    5026,
    "warn",
    "A target sent a Retry-After that is not a number of seconds; it is ignored.",
    "Check the target's software.",
  ),
  relayedSendFailed: event(
    5027,
    "warn",
    "A send by way of another box, `via`, failed; `end` says what failed: the target, the relay, or nothing, if the relay declined.",
    "Check the box named by `via` if `end` is `relay`.",
  ),
  targetFragile: event(
    5028,
    "warn",
    "A target said in a response, to this box or to another one, that it crashes beyond so many rejections per second.",
    "Check the target; see operators/limited-targets.md.",
  ),
  targetFragileEnded: event(5029, "info", "A target no longer says that it is fragile."),
  rejectionAllowanceUnreadable: event(
    5030,
    "warn",
    "A target sent a rejection allowance that cannot be parsed; what was known before stays in effect.",
    "Check the target's software.",
  ),
  fragileTargetRejected: event(
    5031,
    "info",
    "A target that is known to be fragile rejected a request for want of room.",
  ),
  streamTakenUp: event(
    5032,
    "info",
    "A request continues a stream that an earlier attempt of its caller, `resumes`, began.",
  ),
  streamVersionSettled: event(
    5033,
    "info",
    "A stream that a caller takes up goes on at the software version that began it; `by` says where that was known.",
  ),
  streamVersionUnknown: event(
    5034,
    "warn",
    "A stream that a caller takes up is refused: several software versions may have begun it, and no box knows which.",
    "None if boxes were killed together; otherwise see operators/software-versions.md.",
  ),
  softwareVersionsUnconfirmed: event(
    5055,
    "warn",
    "Neither the other boxes nor the store told in time whether the only version that this box knows of a service is still the only one; streams that nobody knows are refused.",
    "See operators/software-versions.md.",
  ),
  streamVersionGone: event(
    5035,
    "info",
    "A stream is refused, or ends, since no target of the software version that began it accepts requests.",
  ),
  dispatcherLost: event(
    5039,
    "warn",
    "The box that grants places at targets did not reply; requests choose their targets here until it is back or another box has taken over.",
    "None if a box has just stopped; otherwise check the box named by `peer`, and the link to it.",
  ),
  dispatcherFound: event(5040, "info", "A box that grants places at targets replies again."),
  dispatchTookOver: event(
    5041,
    "info",
    "This box has begun to grant the places at the targets of a service to all boxes.",
  ),
  dispatchRejected: event(
    5042,
    "info",
    "The dispatcher of a service rejected requests of this box, by reason and count since the last such line.",
  ),
  targetCapacityChanged: event(
    5043,
    "info",
    "The learned speed of a target, relative to others of its service, or the number of requests that it takes at a time, has changed by a step.",
  ),
  targetsHeldBack: event(
    5045,
    "info",
    "The box holds three quarters of its bound for callers that do not read; their targets are read no further until they do.",
  ),
  unreadResponsesEnded: event(
    5046,
    "warn",
    "The box held as many bytes as it may; responses whose callers read nothing for longest were ended.",
    "See operators/slow-callers.md.",
  ),
  bodiesRefusedForMemory: event(
    5047,
    "warn",
    "Requests were refused since the box held as many bytes as it may, and no unread response was left to end.",
    "See operators/slow-callers.md.",
  ),
  incompleteBodiesDropped: event(
    5049,
    "warn",
    "The box held as many bytes as it may; requests whose bodies were not complete were refused to make room for others.",
    "See operators/slow-callers.md.",
  ),
  unforwardedResponsesGaveWay: event(
    5053,
    "warn",
    "Too many bytes were kept of responses that go on: those of the target of which most were kept were passed on early, or given up where they were parts of events.",
    "Look for `sendEnded` with the reason `no room for an event that goes on`: its target may send events without end.",
  ),
  connectionClosed: event(
    5050,
    "info",
    "A connection was closed to stay within a bound; `reason` names it, `state` says what the connection did.",
    "See operators/misbehaving-clients.md.",
  ),
  requestsNotBegun: event(
    5052,
    "info",
    "Requests that were sent ahead of a response were not begun, since that response closed their connection.",
  ),
  requestCutByStop: event(
    5051,
    "warn",
    "A request was still open when the box had to exit; `mayHaveRun` says whether a target may have run it: its caller gets an error, the others are told to come back. A response that had `begun` is broken off.",
    "Compare the longest time limits of the routes with the grace period.",
  ),
  outcomeUnknown: event(
    5004,
    "warn",
    "The outcome of a non-repeatable request is unknown.",
    "The caller has received this outcome; check the target's own records.",
  ),
} as const satisfies Record<string, EventKind>;

/** Name of an event in the catalogue. */
export type EventName = keyof typeof events;

/** Formats the catalogue as the Markdown page docs/EVENTS.md. */
export function describeEvents(): string {
  const lines = [
    "# Log events",
    "",
    "Written by `npm run docs` from the catalogue in `packages/logger`.",
    "",
  ];
  lines.push(
    "| number | level | event | meaning | what to do |",
    "| --- | --- | --- | --- | --- |",
  );
  for (const [name, kind] of Object.entries(events)) {
    lines.push(`| ${kind.number} | ${kind.level} | ${name} | ${kind.text} | ${kind.advice} |`);
  }
  return `${lines.join("\n")}\n`;
}
