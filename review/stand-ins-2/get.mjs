/** Reads one JSON answer, as clients do of the directory and the platform of the readiness. */
import { get as httpGet } from "node:http";

const timeoutMs = 1000;

/** Resolves with the status and the body of the answer; rejects if there is none in a second. */
export function get(address, path) {
  const separator = address.lastIndexOf(":");
  const options = {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    path,
    agent: false,
    timeout: timeoutMs,
  };
  return new Promise((resolve, reject) => {
    const sent = httpGet(options, (response) => {
      let text = "";
      response.setEncoding("utf8").on("data", (part) => (text += part));
      response.on("error", reject);
      response.on("end", () => resolve({ status: response.statusCode, body: JSON.parse(text) }));
    });
    sent.on("timeout", () => sent.destroy(new Error("no answer in time")));
    sent.on("error", reject);
  });
}
