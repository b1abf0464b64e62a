import assert from "node:assert/strict";
import { request } from "node:http";
import { Then } from "@cucumber/cucumber";
import { findHeadEnd, findUnwritableHeader } from "./index.js";

const lines: Readonly<Record<string, readonly [name: string, value: string]>> = {
  "a plain name and value": ["X-A", "b"],
  "an empty value": ["X-A", ""],
  "a tab in its value": ["X-A", "a\tb"],
  "bytes from 128 on in its value": ["X-A", "\x80\xff"],
  "an empty name": ["", "b"],
  "a blank in its name": ["X A", "b"],
  "a blank before its colon": ["X-A ", "b"],
  "a line end in its value": ["X-A", "b\r\nX-B: c"],
  "a control byte in its value": ["X-A", "a\x01"],
};

/** Whether Node throws when it is asked to send the header. */
function isRejectedByNode(headers: readonly string[]): boolean {
  try {
    const started = request({ host: "127.0.0.1", port: 1, headers: headers as never });
    started.once("error", () => undefined);
    started.destroy();
    return false;
  } catch {
    return true;
  }
}

Then(
  /^a header line with (.*) is (writable|unwritable)$/,
  function (this: object, line: string, verdict: "writable" | "unwritable") {
    const headers = ["Host", "x", ...lines[line]];
    assert.equal(findUnwritableHeader(headers) !== undefined, verdict === "unwritable");
    assert.equal(isRejectedByNode(headers), verdict === "unwritable");
  },
);

const headLines = "GET / HTTP/1.1\r\nA: b\r\n";
/** What is read, and how many bytes of it may be. */
const reads: Readonly<Record<string, readonly [text: string, maxBytes?: number]>> = {
  "that is whole": [`${headLines}\r\n`],
  "with a body behind it": [`${headLines}\r\nbody\r\n\r\n`],
  "with a lone carriage return inside a line": [`GET / HTTP/1.1\r\nA: b\rc\r\n\r\n`],
  "that lacks its last byte": [`${headLines}\r`],
  "that ends at a lone carriage return": [`${headLines}\rXGET / HTTP/1.1\r\n\r\n`],
  "that ends at a line feed alone": [`${headLines}\nA: b\r\n\r\n`],
  "that begins with an empty line": [`\r\n${headLines}\r\n`],
  "that ends behind the bytes that may be read": [`${headLines}\r\n`, headLines.length + 1],
};

Then(
  /^the end of a head (.*) is (found|not found)$/,
  function (this: object, kind: string, verdict: string) {
    const [text, maxBytes = text.length] = reads[kind];
    const before = "before it";
    const bytes = Buffer.from(`${before}${text}`, "latin1");
    const end = findHeadEnd(bytes, before.length, before.length + maxBytes);
    const expected = before.length + text.indexOf("\r\n\r\n") + "\r\n\r\n".length;
    assert.equal(end, verdict === "found" ? expected : undefined);
  },
);
