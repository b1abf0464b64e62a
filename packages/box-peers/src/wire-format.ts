/**
 * The bytes of messages between boxes: JSON text, compressed where it is long. Heartbeats name the same fields and
 * engines again and again, and links between failure domains are dear.
 */
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";

/** First byte of a message: how the rest of it is written. */
const plainFormat = 0;
const compressedFormat = 1;

/** Shorter messages are sent as they are: little is gained, and compressing takes time. */
const minCompressedBytes = 400;
/** A small window and little memory: messages are some kilobytes long, and boxes are small. */
const compression = {
  level: constants.Z_BEST_SPEED,
  windowBits: 13,
  memLevel: 6,
};
/** Longest message, written out: a whole configuration with many routes fits. */
export const maxMessageBytes = 16 * 1024 * 1024;

/** Writes one message. */
export function encodeMessage(message: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(message));
  const compress = text.length >= minCompressedBytes;
  const body = compress ? deflateRawSync(text, compression) : text;
  return Buffer.concat([Buffer.of(compress ? compressedFormat : plainFormat), body]);
}

/** Reads one message; throws on bytes that `toBytes` did not write, which ends the stream that they came on. */
export function decodeMessage(bytes: Buffer): never {
  const body = bytes.subarray(1);
  const compressed = bytes[0] === compressedFormat;
  const text = compressed ? inflateRawSync(body, { maxOutputLength: maxMessageBytes }) : body;
  return JSON.parse(text.toString("utf8")) as never;
}
