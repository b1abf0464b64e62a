/** Stand-in for the platform's store: keyed topics of one partition, in memory. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { URLSearchParams } from "node:url";

const lengthBytes = 4;
const pollMs = 5;

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function parseRecords(body) {
  const records = [];
  for (let position = 0; position + lengthBytes <= body.length;) {
    const length = body.readUInt32BE(position);
    const content = body.subarray(position + lengthBytes, position + lengthBytes + length);
    const keyEnd = 1 + content[0];
    const key = content.toString("utf8", 1, keyEnd);
    records.push({ key, value: content.length > keyEnd ? content.subarray(keyEnd) : undefined });
    position += lengthBytes + length;
  }
  return records;
}

function encodeRecord({ key, value = Buffer.alloc(0) }) {
  const name = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([name.length]), name, value]);
  const length = Buffer.alloc(lengthBytes);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Starts the store; `address` is `host:port`. */
export async function startStore(address) {
  const topics = new Map();
  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, []);
    return topics.get(name);
  };
  /** Whether the store answers; a call in an outage gets 503 at once. */
  let available = true;

  const sendNewest = (records, after, response) => {
    const newest = new Map();
    records.forEach(({ key, value }, offset) => newest.set(key, { key, value, offset }));
    const items = [...newest.values()]
      .filter(({ value }) => value !== undefined)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .filter(({ key }) => after === null || key > after)
      .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
    sendJson(response, 200, {
      items: items.slice(0, 500),
      more: items.length > 500,
      end: records.length,
    });
  };
  const sendRecords = (records, query, response) => {
    const from = Number(query.get("from"));
    const until = performance.now() + Number(query.get("wait_ms") ?? 0);
    const answer = () => {
      if (response.destroyed) return;
      if (!available) return sendJson(response, 503, {});
      if (records.length <= from && performance.now() < until) {
        setTimeout(answer, pollMs);
        return;
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const body = Buffer.concat([head, ...records.slice(from).map(encodeRecord)]);
      response.writeHead(200, { "Content-Length": body.length });
      response.end(body);
    };
    answer();
  };
  const append = async (records, query, message, response) => {
    const added = parseRecords(await readBody(message));
    const at = query.get("at");
    if (at !== null && Number(at) !== records.length)
      return sendJson(response, 412, { end: records.length });
    const offset = records.length;
    records.push(...added);
    sendJson(response, 200, { offset, end: records.length });
  };

  const server = createServer((message, response) => {
    if (!available) return sendJson(response, 503, {});
    const [path, text] = message.url.split("?");
    const query = new URLSearchParams(text);
    const records = topicOf(query.get("topic"));
    if (path === "/v1/log-newest") return sendNewest(records, query.get("after"), response);
    if (path === "/v1/log-read") return sendRecords(records, query, response);
    if (path === "/v1/log-append") return void append(records, query, message, response);
    sendJson(response, 404, {});
  });
  const [host, port] = address.split(":");
  await new Promise((resolve) => server.listen(Number(port), host, resolve));
  return {
    address,
    put(topic, key, value) {
      const bytes = value === undefined ? undefined : Buffer.from(JSON.stringify(value));
      topicOf(topic).push({ key, value: bytes });
    },
    setAvailable(value) {
      available = value;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
