/** Weight store over HTTP: `POST /loads {sizeMb}` responds when the load completes. */
import { createHttpClient, readText } from "@linkfall/http-client";
import { createHttpFront, type HttpFront } from "@linkfall/http-front";
import type { Clock } from "@linkfall/kernel";
import type { WeightStoreCore } from "./weight-store-core.js";

const limits = { maxBodyBytes: 10_000, maxHeaderBytes: 16_384, bodyTimeoutMs: 30_000 };

const retryDelayMs = 500;

/** Serves a weight store over HTTP. */
export function serveWeightStore(clock: Clock, address: string, core: WeightStoreCore): HttpFront {
  return createHttpFront({
    clock,
    address,
    limits,
    handle: (request) =>
      new Promise((resolve) => {
        if (request.path === "/faults") {
          core.setSlowdown(JSON.parse(Buffer.from(request.body).toString("utf8")).factor);
          return resolve({ status: 200, headers: {}, body: Buffer.from("{}") });
        }
        const { sizeMb } = JSON.parse(Buffer.from(request.body).toString("utf8"));
        const cancel = core.load(sizeMb, () =>
          resolve({ status: 200, headers: {}, body: Buffer.from("{}") }),
        );
        request.signal.addEventListener("abort", cancel, { once: true });
      }),
    onDefect(_path, defect) {
      throw defect;
    },
  });
}

/** Creates a client for a weight store in another process; failed loads are retried. */
export function createRemoteWeightStore(
  clock: Clock,
  address: string,
): Pick<WeightStoreCore, "load"> {
  const client = createHttpClient();
  const load = async (sizeMb: number, onLoaded: () => void, cancellation: AbortController) => {
    const response = await client.send(
      {
        address,
        method: "POST",
        path: "/loads",
        headers: {},
        body: Buffer.from(JSON.stringify({ sizeMb })),
        freshConnection: true,
      },
      cancellation.signal,
    );
    const loaded = response.isRight() && (await readText(response.unsafeCoerce().body)).isRight();
    if (loaded) return onLoaded();
    if (!cancellation.signal.aborted)
      clock.after(retryDelayMs, () => void load(sizeMb, onLoaded, cancellation));
  };
  return {
    load(sizeMb, onLoaded) {
      const cancellation = new AbortController();
      void load(sizeMb, onLoaded, cancellation);
      return () => cancellation.abort();
    },
  };
}
