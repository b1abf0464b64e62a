/** Identifiers and units that every package shares. They are plain strings and numbers on the wire. */

/** Position of a record in a stream of the platform's log. The first record has offset 1. */
export type Offset = number;

/** Offset of the last accepted change of one resource; 0 where the resource does not exist. */
export type Revision = number;

/** Fencing token: the offset of the lease claim under which an order was given. */
export type Epoch = number;

/** A span of time, or a reading of a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Memory in mebibytes. */
export type Mebibytes = number;

/** Names one start of one box process: `<box>@<random>`. A restart gives a new one. */
export type Incarnation = string;

/** The part of an incarnation that names the box. */
export function boxOf(incarnation: Incarnation): string {
  return incarnation.slice(0, incarnation.indexOf("@"));
}
