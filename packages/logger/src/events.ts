/** The catalogue of log events. docs/EVENTS.md is written from it and a test compares the two. */

export type EventLevel = "error" | "warn" | "info" | "debug";

/** One kind of log event. Numbers are never used again for something else. */
export interface EventKind {
  readonly number: number;
  readonly level: EventLevel;
  readonly text: string;
  /** What an operator does about it. */
  readonly advice: string;
}

function event(number: number, level: EventLevel, text: string, advice = "None."): EventKind {
  return { number, level, text, advice };
}

/** 1xxx box, 2xxx log and desired state, 3xxx members, 4xxx leases and orders, 5xxx requests. */
export const events = {
  boxStarted: event(1001, "info", "Box has started; it does not serve yet."),
  boxReady: event(1002, "info", "Box has folded the desired state and serves."),
  boxDraining: event(
    1003,
    "info",
    "Planned stop: box has left the answers and lets requests finish.",
  ),
  boxStopped: event(1004, "info", "Box has stopped."),
  boxIsolated: event(
    1005,
    "warn",
    "Box has reached neither the log nor a majority that confirms an outage; it refuses requests.",
    "Check this box's network.",
  ),
  boxRejoined: event(1006, "info", "Box is no longer cut off and serves again."),
  invariantBroken: event(
    1007,
    "error",
    "A broken invariant stops the process.",
    "Report it with the last log lines; the box may be started again.",
  ),
  addressUnavailable: event(
    1008,
    "error",
    "Box may not listen on one of its addresses; it ends with exit code 69.",
    "Find the process that listens there, or change the address in the settings.",
  ),
  settingsSignalled: event(1009, "info", "The settings file is said to have changed."),
  settingsChanged: event(
    1010,
    "info",
    "The settings file has changed; new seeds are in use.",
    "Start the box again where `atNextStart` names keys that have to hold.",
  ),
  settingsUnusable: event(
    1011,
    "warn",
    "The settings file can't be read or has problems; the box goes on with what it has.",
    "Mend the file; `linkfall check-settings --forwarding FILE` names every problem.",
  ),
  loopHeldUp: event(
    1012,
    "info",
    "The event loop was held up; what came meanwhile is read only now.",
    "Where a box tells so again and again, give it more of a processor, or fewer callers.",
  ),
  logUnreachable: event(
    2001,
    "warn",
    "The log does not answer.",
    "See operators/when-the-log-is-down.md.",
  ),
  logReachable: event(2002, "info", "The log answers again."),
  badRecord: event(
    2003,
    "warn",
    "A record of the log could not be understood and was passed over.",
    "Find who appended it; desired state is not affected.",
  ),
  restoredFromSnapshot: event(2004, "info", "State was restored from a snapshot in the log."),
  restoredFromPeer: event(2005, "info", "State was taken from a peer."),
  snapshotWritten: event(2006, "info", "A snapshot was appended."),
  changeInForce: event(2007, "info", "A change of desired state is in force on this box."),
  changeRejected: event(2008, "info", "A change of desired state lost against a newer revision."),
  configurationInForce: event(2009, "info", "A configuration is in force on this box."),
  memberJoined: event(3001, "info", "A box has been seen for the first time."),
  memberSuspected: event(3002, "warn", "A box's heartbeat stands still.", "Check that box."),
  memberGone: event(3003, "info", "A box was forgotten, or replaced by a later start."),
  connectionChanged: event(
    3008,
    "info",
    "This box takes itself for connected to most others, or for cut off from them.",
    "While it lasts on a box: check its network; limits of accounts hold by parts there.",
  ),
  leaseTaken: event(4001, "info", "This box holds the lease of a pool."),
  leaseLost: event(4002, "warn", "This box no longer holds the lease of a pool."),
  leaseReleased: event(4003, "info", "This box gave up the lease of a pool."),
  fenceStands: event(4004, "info", "The fence stands on every fenced engine of the pool."),
  fenceRefused: event(4005, "warn", "An engine refused an order of a lapsed epoch."),
  orderSent: event(4006, "info", "An order was sent to an engine."),
  orderSettled: event(4007, "debug", "An order is settled."),
  orderRefused: event(
    4008,
    "warn",
    "An engine refused an order.",
    "Look at the reason; desired memory sizes may be wrong.",
  ),
  unplaceable: event(
    4009,
    "warn",
    "Not every declared model fits into the pool.",
    "Add accelerators or remove models.",
  ),
  targetLeaving: event(4010, "info", "A target is leaving; it receives no new work."),
  engineRestarted: event(4011, "warn", "An engine has restarted with empty memory."),
  targetSeen: event(4012, "info", "A target has been listed for the first time."),
  targetMissing: event(4013, "info", "A target's entry has gone from the list."),
  targetGone: event(4014, "info", "A target is taken for gone."),
  orderAnswered: event(4015, "info", "An engine answered an order, or did not answer in time."),
  moveBegun: event(4016, "info", "An engine is to swap models."),
  moveEnded: event(4017, "info", "A swap of models has ended."),
  targetStartedAgain: event(
    4018,
    "warn",
    "A target has started again under its id; nothing that was known of its earlier life counts.",
  ),
  badTargetEntry: event(
    4019,
    "warn",
    "An entry of the list of targets can't be used; the target is left alone until its entry is good.",
    "Find who writes it.",
  ),
  targetEjected: event(5001, "warn", "A target that fails is left out for a while."),
  requestRefused: event(5002, "debug", "A request was refused."),
  requestHeld: event(5005, "info", "A request waits for weights."),
  targetChosen: event(5006, "info", "A target was chosen for a request."),
  sendEnded: event(5007, "info", "A send of a request to a target has ended."),
  requestEnded: event(5008, "info", "A request has its final answer."),
  quotaAlone: event(
    5009,
    "warn",
    "No box that hands out the account's limit answers; this box lets through a small part of it.",
    "Check the network between boxes; see operators/accounts.md.",
  ),
  quotaShort: event(
    5016,
    "info",
    "What this box has handed out, in about a second, of an account's limit that runs short.",
  ),
  requestRejected: event(
    5010,
    "info",
    "A request was rejected before it was forwarded: for its terms, its route, its key or its account's limit.",
  ),
  connectionsWaited: event(
    5011,
    "warn",
    "Connections of callers waited in the listen queue: the box took one a turn, and its turns were long.",
    "Look at linkfall_accept_turn_ms and at what the box does beside its callers.",
  ),
  callerLeft: event(5012, "info", "A caller left while its request was being sent or answered."),
  sendLost: event(
    5013,
    "info",
    "The answer of a target was lost; whether the target still takes connections tells a lost connection from a target that ended.",
  ),
  requestHeldBack: event(
    5014,
    "warn",
    "A request is held back at all boxes: target after target ended while it ran there.",
    "Look at what it does to the engine; release it by its fingerprint once that is mended (operators/held-requests.md).",
  ),
  requestReleased: event(5015, "info", "A request that was held back may run again."),
  heldNotKept: event(
    5017,
    "warn",
    "That a request is held back, or released, could not be kept for boxes that start anew; the boxes that run know it.",
    "Look at the store or the log; it is tried again as long as the box runs, a record of the log for a minute.",
  ),
  heldUnread: event(
    5018,
    "warn",
    "What is held back could not be read at the start; it is tried again, and other boxes tell of it.",
  ),
  targetLimited: event(
    5019,
    "warn",
    "A target has named the requests a second that it takes from all boxes together.",
    "Look at the target; see operators/limited-targets.md.",
  ),
  targetLimitEnded: event(5020, "info", "A target takes any number of requests again."),
  targetLimitUnreadable: event(
    5021,
    "warn",
    "A target names a limit that can't be read; what was known before still holds.",
    "Look at the target's software.",
  ),
  outcomeUnknown: event(
    5004,
    "warn",
    "The outcome of a not repeatable request is unknown.",
    "The caller was told so; look at the target's own records.",
  ),
} as const satisfies Record<string, EventKind>;

/** Name of an event in the catalogue. */
export type EventName = keyof typeof events;

/** The catalogue as the Markdown page docs/EVENTS.md. */
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
