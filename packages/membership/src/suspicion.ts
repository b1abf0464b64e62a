/** Reports each member once when its heartbeats stop, and again only after they have resumed. */
import type { Incarnation } from "@linkfall/types";
import type { MemberTable } from "./member-table.js";

export interface SuspicionMonitor {
  /** Compares the members with recent heartbeats to all known members. */
  update(alive: readonly Incarnation[]): void;
  forget(member: Incarnation): void;
}

/** Creates a monitor; `suspected` is called for each member that becomes suspected. */
export function createSuspicionMonitor(
  known: MemberTable["known"],
  suspected: (member: Incarnation) => void,
): SuspicionMonitor {
  const reported = new Set<Incarnation>();
  return {
    update(alive) {
      const active = new Set(alive);
      for (const { entry } of known()) {
        if (active.has(entry.incarnation)) reported.delete(entry.incarnation);
        else if (!reported.has(entry.incarnation)) {
          reported.add(entry.incarnation);
          suspected(entry.incarnation);
        }
      }
    },
    forget: (member) => void reported.delete(member),
  };
}
