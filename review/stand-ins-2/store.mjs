/** The platform's store: a log with partitions of keyed topics, as far as the boxes use it. */
import { createServer } from "node:http";
import { setTimeout } from "node:timers";
import { Buffer } from "node:buffer";
import { URL } from "node:url";

const lengthBytes = 4;
const headBytes = 16;
const pollMs = 10;
const maxAnswerBytes = 1_000_000;
const maxPageItems = 500;

function readBody(message) {
  return new Promise((resolve) => {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("end", () => resolve(Buffer.concat(chunks)));
  });
}

function splitRecords(body) {
  const records = [];
  for (let at = 0; at + lengthBytes <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(body.subarray(at + lengthBytes, at + lengthBytes + length));
    at += lengthBytes + length;
  }
  return records;
}

function encode(record) {
  const length = Buffer.alloc(lengthBytes);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

const keyOf = (record) => record.toString("utf8", 1, 1 + record[0]);
const valueOf = (record) => record.subarray(1 + record[0]);

/** Starts the store; it keeps everything that it has acknowledged. */
export async function startStore(host) {
  const topics = new Map();
  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, []);
    return topics.get(name);
  };
  const sendJson = (response, status, value) => {
    const body = JSON.stringify(value);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  };

  const sendNewest = (records, query, response) => {
    const newest = new Map(records.map((record, offset) => [keyOf(record), { record, offset }]));
    const after = Buffer.from(query.get("after") ?? "");
    const rest = [...newest]
      .filter(([key, { record }]) => {
        return valueOf(record).length > 0 && Buffer.compare(Buffer.from(key), after) > 0;
      })
      .sort(([left], [right]) => Buffer.compare(Buffer.from(left), Buffer.from(right)));
    const items = rest.slice(0, maxPageItems).map(([key, { record, offset }]) => ({
      key,
      value: valueOf(record).toString("base64"),
      offset,
    }));
    sendJson(response, 200, { items, more: rest.length > items.length, end: records.length });
  };
  const sendChanges = (records, query, response) => {
    const from = Number(query.get("from"));
    const deadline = Date.now() + Number(query.get("wait_ms") ?? 0);
    const answer = () => {
      if (response.destroyed) return;
      if (records.length <= from && Date.now() < deadline) return void setTimeout(answer, pollMs);
      const head = Buffer.alloc(headBytes);
      head.writeBigUInt64BE(BigInt(records.length));
      const parts = [head];
      let bytes = 0;
      for (const record of records.slice(from)) {
        if (bytes > 0 && bytes + record.length > maxAnswerBytes) break;
        bytes += record.length;
        parts.push(encode(record));
      }
      const body = Buffer.concat(parts);
      response.writeHead(200, { "Content-Length": body.length });
      response.end(body);
    };
    answer();
  };
  const append = async (records, query, message, response) => {
    const added = splitRecords(await readBody(message));
    const at = query.get("at");
    const end = records.length;
    if (at !== null && Number(at) !== end) return sendJson(response, 412, { end });
    records.push(...added);
    sendJson(response, 200, { offset: end, end: records.length });
  };

  const server = createServer((message, response) => {
    const { pathname, searchParams } = new URL(message.url, "http://store");
    const records = topicOf(searchParams.get("topic") ?? "");
    if (pathname === "/v1/log-newest") return sendNewest(records, searchParams, response);
    if (pathname === "/v1/log-read") return sendChanges(records, searchParams, response);
    if (pathname === "/v1/log-append") return void append(records, searchParams, message, response);
    sendJson(response, 404, {});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a record as the operator or a server does; without a value it drops the key. */
    put(topic, key, value) {
      const text = value === undefined ? "" : JSON.stringify(value);
      topicOf(topic).push(
        Buffer.concat([Buffer.of(Buffer.byteLength(key)), Buffer.from(key), Buffer.from(text)]),
      );
    },
    /** The value of the newest record of the key. */
    newestOf(topic, key) {
      const record = topicOf(topic).findLast((each) => keyOf(each) === key);
      return record && valueOf(record).toString("utf8");
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
