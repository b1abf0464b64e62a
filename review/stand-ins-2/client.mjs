/** A client that sends one request to one box and reads its answer. */
import { request } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

/** Reads an answer of events; resolves with the ids that came and how it ended. */
export function sendStream(address, { path, host, headers, body, patienceMs }) {
  const separator = address.lastIndexOf(":");
  return new Promise((resolve) => {
    const ids = [];
    let timer;
    let text = "";
    const settle = (end, status) => {
      clearTimeout(timer);
      resolve({ end, status, ids });
    };
    const wait = (sent) => {
      clearTimeout(timer);
      timer = setTimeout(() => {
        settle("the client gave up");
        sent.destroy();
      }, patienceMs);
    };
    const sent = request({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      method: "POST",
      path,
      headers: { Host: host, ...headers, "Content-Length": body.length },
      agent: false,
    });
    wait(sent);
    sent.on("error", (problem) => settle(`failed: ${problem.code ?? problem.message}`));
    sent.on("response", (response) => {
      response.setEncoding("latin1");
      response.on("data", (part) => {
        wait(sent);
        text += part;
        for (let at = text.indexOf("\n\n"); at >= 0; at = text.indexOf("\n\n")) {
          const id = /^id: (\d+)$/m.exec(text.slice(0, at));
          if (id) ids.push(Number(id[1]));
          text = text.slice(at + 2);
        }
      });
      response.on("error", () => settle("cut", response.statusCode));
      response.on("end", () => settle(response.complete ? "whole" : "cut", response.statusCode));
    });
    sent.end(body);
  });
}
