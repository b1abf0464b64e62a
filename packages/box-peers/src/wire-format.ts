/**
 * Wire format of messages between boxes: JSON, deflated if it is long. Heartbeats are repetitive, and traffic between
 * failure domains is expensive.
 */
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";

/** First byte of a message: the encoding of the rest. */
const plainFormat = 0;
const compressedFormat = 1;

/** Shorter messages are not worth compressing. */
const minCompressedBytes = 400;
/** A small window and little memory suit messages of a few kilobytes. */
const compression = {
  level: constants.Z_BEST_SPEED,
  windowBits: 13,
  memLevel: 6,
};
/** Maximum uncompressed size of a message; fits a complete configuration with many routes. */
export const maxMessageBytes = 16 * 1024 * 1024;

/** Deepest nesting of a message; deeper values exhaust the stack when they are encoded for other boxes. */
const maxNesting = 64;

/** Character codes of JSON. */
const quote = 0x22;
const backslash = 0x5c;
const openArray = 0x5b;
const closeArray = 0x5d;
const openObject = 0x7b;
const closeObject = 0x7d;

/** Returns the index after the string that begins at `start`, a quote. */
function skipString(text: Buffer, start: number): number {
  let index = start + 1;
  while (index < text.length && text[index] !== quote) index += text[index] === backslash ? 2 : 1;
  return index + 1;
}

/** Whether the JSON text nests arrays and objects deeper than messages do. */
function isNestedTooDeep(text: Buffer): boolean {
  let depth = 0;
  let index = 0;
  while (index < text.length) {
    const byte = text[index];
    if (byte === quote) {
      index = skipString(text, index);
      continue;
    }
    if (byte === openArray || byte === openObject) depth += 1;
    else if (byte === closeArray || byte === closeObject) depth -= 1;
    if (depth > maxNesting) return true;
    index += 1;
  }
  return false;
}

/** Encodes a message. */
export function encodeMessage(message: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(message));
  const compress = text.length >= minCompressedBytes;
  const body = compress ? deflateRawSync(text, compression) : text;
  return Buffer.concat([Buffer.of(compress ? compressedFormat : plainFormat), body]);
}

/** Decodes a message; throws on bytes that are no message, which closes the stream they arrived on. */
export function decodeMessage(bytes: Buffer): never {
  const body = bytes.subarray(1);
  const compressed = bytes[0] === compressedFormat;
  const text = compressed ? inflateRawSync(body, { maxOutputLength: maxMessageBytes }) : body;
  if (isNestedTooDeep(text)) throw new Error("the message is nested too deep");
  const message: unknown = JSON.parse(text.toString("utf8"));
  if (typeof message !== "object" || message === null) throw new Error("not an object");
  return message as never;
}
