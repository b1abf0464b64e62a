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

/** Encodes a message. */
export function encodeMessage(message: unknown): Buffer {
  const text = Buffer.from(JSON.stringify(message));
  const compress = text.length >= minCompressedBytes;
  const body = compress ? deflateRawSync(text, compression) : text;
  return Buffer.concat([Buffer.of(compress ? compressedFormat : plainFormat), body]);
}

/** Decodes a message; throws on malformed bytes, which closes the stream they arrived on. */
export function decodeMessage(bytes: Buffer): never {
  const body = bytes.subarray(1);
  const compressed = bytes[0] === compressedFormat;
  const text = compressed ? inflateRawSync(body, { maxOutputLength: maxMessageBytes }) : body;
  return JSON.parse(text.toString("utf8")) as never;
}
