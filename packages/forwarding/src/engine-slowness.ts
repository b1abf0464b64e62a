/** What the speeds of engines, which all boxes learn together, mean for a request. */
import type { EngineSpeeds } from "@linkfall/engine-speed";
import type { Milliseconds } from "@linkfall/types";
import type { ForwardedRequest } from "./forwarded-request.js";

/** Time for which an engine of median speed holds up its streams to prefill a long prompt. */
const prefillPauseMs: Milliseconds = 250;

/** Key of streams whose event intervals are comparable: models of the same size run alike; undefined without a known model. */
export function decodeKind({ service, terms }: ForwardedRequest): string | undefined {
  const model = service.engine?.models.get(terms.model ?? "");
  return model && `${service.name} ${Math.round(model.memoryMb)}`;
}

/**
 * Additional pause in the streams of a slow engine, compared with one of median speed. Streams begin in time there, but
 * pause for too long whenever the engine prefills the prompts of others.
 */
export function additionalPauseMs(speeds: EngineSpeeds | undefined, target: string): Milliseconds {
  if (!speeds) return 0;
  return Math.max(0, 1 / speeds.relativeSpeed(target) - 1) * prefillPauseMs;
}
