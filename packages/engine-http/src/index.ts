/**
 * Model engines over HTTP: `GET /report`, `POST /fence {epoch}` (returns a report), `POST /orders` and
 * `GET /cache-events?after=`.
 */
import { parseOkResponse, type JsonCaller } from "@linkfall/json-call";
import type { EnginePort } from "@linkfall/ports";
import { engineRoles, residentStates } from "@linkfall/types";
import { z } from "zod";

const count = z.number().int().min(0);

const reportSchema = z.object({
  engine: z.string(),
  engineIncarnation: z.string(),
  sequence: count,
  fence: count,
  role: z.enum(engineRoles),
  residents: z.array(
    z.object({
      artifact: z.string(),
      accelerator: count,
      sizeMb: z.number().positive(),
      state: z.enum(residentStates),
    }),
  ),
  running: count,
  queued: count,
  pendingTokens: z.number(),
  tokensPerSecond: z.number(),
  leaving: z.boolean(),
  settledOrders: z.array(z.string()),
});

const replySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("accepted") }),
  z.object({ kind: z.literal("stale_epoch"), fence: count }),
  z.object({ kind: z.literal("refused"), reason: z.string() }),
]);

const cacheSchema = z.object({
  engineIncarnation: z.string(),
  events: z.array(
    z.object({ sequence: count, kind: z.enum(["stored", "evicted"]), prefixKey: z.string() }),
  ),
});

/** Creates an adapter for all engines. */
export function createEngineHttp(caller: JsonCaller): EnginePort {
  return {
    async report(address) {
      const result = await caller.call({ address, method: "GET", path: "/report" });
      return result.chain((response) => parseOkResponse(response, reportSchema));
    },
    async raiseFence(address, epoch) {
      const call = { address, method: "POST", path: "/fence", body: { epoch } } as const;
      const result = await caller.call(call);
      return result.chain((response) => parseOkResponse(response, reportSchema));
    },
    async order(address, order, isPermitted) {
      const call = { address, method: "POST", path: "/orders", body: order, isPermitted } as const;
      const result = await caller.call(call);
      return result.chain((response) => parseOkResponse(response, replySchema));
    },
    async cacheEvents(address, after) {
      const path = `/cache-events?after=${after}`;
      const result = await caller.call({ address, method: "GET", path });
      return result.chain((response) => parseOkResponse(response, cacheSchema));
    },
  };
}
