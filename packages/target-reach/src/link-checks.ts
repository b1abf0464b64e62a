/** Connection attempts to several targets at once. */
import type { Random } from "@linkfall/kernel";
import type { CheckedTarget, ReachPorts } from "./contract.js";
import { drawTargets } from "./draw-targets.js";

export interface LinkChecks {
  /**
   * Connects to up to `count` targets at once and resolves with the ids of those that listen, as soon as they are `enough` or
   * all attempts have ended. Targets of `avoided` are used only if there are no others.
   */
  countListening(
    targets: readonly CheckedTarget[],
    count: number,
    avoided: ReadonlySet<string>,
    enough: number,
  ): Promise<CheckResult>;
}

export interface CheckResult {
  /** Ids of the targets to which a connection was attempted. */
  readonly checked: readonly string[];
  /** Ids of the targets that accepted the connection. */
  readonly listening: readonly string[];
}

export function createLinkChecks(
  random: Random,
  isListening: ReachPorts["isListening"],
): LinkChecks {
  return {
    countListening(targets, count, avoided, enough) {
      const drawn = drawTargets(random, targets, count, avoided);
      const checked = drawn.map(({ id }) => id);
      const listening: string[] = [];
      let pending = drawn.length;
      return new Promise((resolve) => {
        const finish = () => resolve({ checked, listening: [...listening] });
        if (pending === 0) return finish();
        for (const { id, address } of drawn) {
          void isListening(address).then((status) => {
            pending -= 1;
            if (status === "listens") listening.push(id);
            if (pending === 0 || listening.length >= enough) finish();
          });
        }
      });
    },
  };
}
