/** The platform's list of boxes over HTTP: `GET /boxes` returns `{boxes, leaving_targets}`. */
import { parseOkResponse, type JsonCaller } from "@linkfall/json-call";
import type { BoxListPort } from "@linkfall/ports";
import { z } from "zod";

const entrySchema = z.object({
  box: z.string(),
  peerAddress: z.string(),
  state: z.enum(["live", "leaving"]),
});
const targetSchema = z.string();
const listSchema = z.object({
  boxes: z.array(z.unknown()),
  leaving_targets: z.array(z.unknown()).default([]),
});

/**
 * Creates an adapter for the list at `address`. Invalid entries are skipped.
 *
 * @param onInvalid called with the reason for each invalid entry
 */
export function createBoxListHttp(
  caller: JsonCaller,
  address: string,
  onInvalid: (reason: string) => void,
): BoxListPort {
  const pickValid = <T>(schema: z.ZodType<T>, entries: readonly unknown[]): readonly T[] =>
    entries.flatMap((entry) => {
      const checked = schema.safeParse(entry);
      if (checked.success) return [checked.data];
      onInvalid(checked.error.issues[0].message);
      return [];
    });
  return {
    async read() {
      const result = await caller.call({ address, method: "GET", path: "/boxes" });
      return result
        .chain((response) => parseOkResponse(response, listSchema))
        .map((list) => ({
          boxes: pickValid(entrySchema, list.boxes),
          leavingTargets: pickValid(targetSchema, list.leaving_targets),
        }))
        .mapLeft((failure) => ({ kind: "log_unavailable", reason: failure.reason }));
    },
  };
}
