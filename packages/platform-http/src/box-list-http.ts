/** The platform's box list over HTTP: `GET /boxes` answers `{boxes, leaving_targets}`. */
import { parseOkResponse, type JsonCaller } from "@linkfall/json-call";
import type { BoxListPort } from "@linkfall/ports";
import { z } from "zod";

const listSchema = z.object({
  boxes: z.array(
    z.object({
      box: z.string(),
      peerAddress: z.string(),
      state: z.enum(["live", "leaving"]),
    }),
  ),
  leaving_targets: z.array(z.string()).default([]),
});

/** Creates the port for the list at `address`. */
export function createBoxListHttp(caller: JsonCaller, address: string): BoxListPort {
  return {
    async read() {
      const answer = await caller.call({ address, method: "GET", path: "/boxes" });
      return answer
        .chain((value) => parseOkResponse(value, listSchema))
        .map((list) => ({ boxes: list.boxes, leavingTargets: list.leaving_targets }))
        .mapLeft((failure) => ({ kind: "log_unavailable", reason: failure.reason }));
    },
  };
}
