/** A process that listens for other boxes at its first argument and answers nothing; SIGTERM closes its server and ends it. */
import { createPeerServer, type PeerHandler } from "./index.js";

const unexpected = () => Promise.reject(new Error("not called"));
const handler: PeerHandler = {
  exchange: () => {
    throw new Error("not called");
  },
  configuration: () => {
    throw new Error("not called");
  },
  quota: unexpected,
  permit: unexpected,
  streams: unexpected,
  dispatch: unexpected,
  place() {
    process.send?.("place");
    return new Promise(() => undefined);
  },
  relay(stream) {
    stream.listen({ onFrame: () => process.send?.("relay"), onClosed: () => undefined });
  },
};
const server = createPeerServer(handler, () => undefined);
process.on("SIGTERM", () => {
  server.close();
  process.exit(0);
});
await server.listen(process.argv[2]);
process.send?.("listening");
