/** Sends a GET on a new connection and reads its answer, as JSON if it is. */
import { get as httpGet } from "node:http";

const timeoutMs = 1000;
const parse = ({ headers }, text) =>
  headers["content-type"] === "application/json" ? JSON.parse(text) : text;

/** Resolves with the status and the body of the answer; rejects if there is none in a second. */
export function get(address, path, headers = {}) {
  const separator = address.lastIndexOf(":");
  const options = {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    path,
    headers,
    agent: false,
    timeout: timeoutMs,
  };
  return new Promise((resolve, reject) => {
    const sent = httpGet(options, (response) => {
      let text = "";
      response.setEncoding("utf8").on("data", (part) => (text += part));
      response.on("error", reject);
      response.on("end", () =>
        resolve({ status: response.statusCode, body: parse(response, text) }),
      );
    });
    sent.on("timeout", () => sent.destroy(new Error("no answer in time")));
    sent.on("error", reject);
  });
}
