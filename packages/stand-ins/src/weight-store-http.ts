/** The weight store behind an address: `POST /loads {sizeMb}` answers when the weights are there. */
import { createHttpClient, readText } from "@linkfall/http-client";
import { createHttpFront, type HttpFront } from "@linkfall/http-front";
import type { Clock } from "@linkfall/kernel";
import type { WeightStoreCore } from "./weight-store-core.js";

const limits = { maxBodyBytes: 10_000, maxHeaderBytes: 16_384, bodyTimeoutMs: 30_000 };

const retryMs = 500;

/** Serves a store. */
export function serveWeightStore(clock: Clock, address: string, core: WeightStoreCore): HttpFront {
  return createHttpFront({
    clock,
    address,
    limits,
    handle: (request) =>
      new Promise((resolve) => {
        if (request.path === "/faults") {
          core.slow(JSON.parse(Buffer.from(request.body).toString("utf8")).factor);
          return resolve({ status: 200, headers: {}, body: Buffer.from("{}") });
        }
        const { sizeMb } = JSON.parse(Buffer.from(request.body).toString("utf8"));
        const cancel = core.load(sizeMb, () =>
          resolve({ status: 200, headers: {}, body: Buffer.from("{}") }),
        );
        request.signal.addEventListener("abort", cancel, { once: true });
      }),
    onDefect(problem) {
      throw problem;
    },
  });
}

/** A store in another process; a load that fails is asked for again. */
export function remoteWeightStore(clock: Clock, address: string): Pick<WeightStoreCore, "load"> {
  const client = createHttpClient();
  const load = async (sizeMb: number, done: () => void, giveUp: AbortController) => {
    const sent = await client.send(
      {
        address,
        method: "POST",
        path: "/loads",
        headers: {},
        body: Buffer.from(JSON.stringify({ sizeMb })),
        freshConnection: true,
      },
      giveUp.signal,
    );
    const whole = sent.isRight() && (await readText(sent.unsafeCoerce().body)).isRight();
    if (whole) return done();
    if (!giveUp.signal.aborted) clock.after(retryMs, () => void load(sizeMb, done, giveUp));
  };
  return {
    load(sizeMb, done) {
      const giveUp = new AbortController();
      void load(sizeMb, done, giveUp);
      return () => giveUp.abort();
    },
  };
}
