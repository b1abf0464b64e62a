/** TCP proxy whose open connections may fall silent for good, without a reset, while new ones work. */
import { connect, createServer } from "node:net";

/** Starts a proxy before `target`, a `host:port`. */
export async function startProxy(host, target) {
  const separator = target.lastIndexOf(":");
  const [targetHost, targetPort] = [
    target.slice(0, separator),
    Number(target.slice(separator + 1)),
  ];
  const pairs = new Set();
  let isSilent = false;
  const server = createServer((near) => {
    const far = connect(targetPort, targetHost);
    const pair = { near, far, isSilent };
    pairs.add(pair);
    const pass = (from, to) => {
      from.on("data", (bytes) => void (pair.isSilent || to.write(bytes)));
      from.on("end", () => void (pair.isSilent || to.end()));
      from.on("error", () => undefined);
      from.on("close", (hadError) => {
        if (pair.isSilent) return;
        pairs.delete(pair);
        if (hadError) to.resetAndDestroy();
        else to.destroySoon();
      });
    };
    pass(near, far);
    pass(far, near);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Nothing passes any more on the connections that are open now; neither end is told. */
    silenceOpen() {
      for (const pair of pairs) pair.isSilent = true;
      return pairs.size;
    },
    /** While it is silent, nothing passes on new connections either; those that fell silent stay so. */
    setSilent(silent) {
      isSilent = silent;
      if (silent) for (const pair of pairs) pair.isSilent = true;
    },
    close() {
      server.close();
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
    },
  };
}
