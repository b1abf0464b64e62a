/** Identifiers and units shared by all packages; plain strings and numbers on the wire. */

/** Position of a record in a stream of the platform's log, starting at 1. */
export type Offset = number;

/** Offset of the last accepted change of a resource; 0 if the resource does not exist. */
export type Revision = number;

/** Fencing token: the offset of the lease claim under which an order was issued. */
export type Epoch = number;

/** A duration, or a reading of a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Memory in mebibytes. */
export type Mebibytes = number;

/** Identifies one run of a box process: `<box>@<random>`. Each restart creates a new one. */
export type Incarnation = string;

/** Returns the name of the box that an incarnation belongs to. */
export function boxOf(incarnation: Incarnation): string {
  return incarnation.slice(0, incarnation.indexOf("@"));
}
