/** Tells of each member once when its heartbeat stands still, and again only after it has moved. */
import type { Incarnation } from "@linkfall/types";
import type { MemberTable } from "./member-table.js";

export interface SuspicionMonitor {
  /** Compares the members whose heartbeat moves with all that are known. */
  update(alive: readonly Incarnation[]): void;
  forget(member: Incarnation): void;
}

/** Creates a suspicion of nobody; `suspected` is called for each member that becomes suspect. */
export function createSuspicionMonitor(
  known: MemberTable["known"],
  suspected: (member: Incarnation) => void,
): SuspicionMonitor {
  const told = new Set<Incarnation>();
  return {
    update(alive) {
      const moving = new Set(alive);
      for (const { entry } of known()) {
        if (moving.has(entry.incarnation)) told.delete(entry.incarnation);
        else if (!told.has(entry.incarnation)) {
          told.add(entry.incarnation);
          suspected(entry.incarnation);
        }
      }
    },
    forget: (member) => void told.delete(member),
  };
}
