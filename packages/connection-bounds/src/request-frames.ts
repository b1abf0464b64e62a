/**
 * Follows where the heads and bodies of the requests of a connection end, beside Node's parser: that takes any byte behind a
 * carriage return at the beginning of a line for the line feed of an empty line, and what follows for a request. Slices end with each
 * head, so that a request that the parser begins anywhere else is seen.
 */
import type { IncomingMessage } from "node:http";
import { findHeadEnd } from "@linkfall/header-syntax";

const carriageReturn = 0x0d;
const lineFeed = 0x0a;
const lineEndBytes = 2;
/** Digits of a chunk size; a longer one is not followed. */
const maxSizeDigits = 12;
const hexadecimal = 16;
/** Values of digits by their bytes, and undefined for other bytes. */
const digitValues: readonly (number | undefined)[] = Array.from({ length: 256 }, (_, byte) => {
  const value = Number.parseInt(String.fromCharCode(byte), hexadecimal);
  return Number.isNaN(value) ? undefined : value;
});

type Section = "head" | "body" | "chunk size" | "chunk" | "trailers";
/** How a slice ends: with the empty line of a head, or with a byte in place of the line feed of an empty line. */
type SliceEnd = "empty line" | "lone return" | "other";

export interface RequestFrames {
  /** Returns where the slice of the bytes ends that begins at `from` and ends at `to` at the latest, and is parsed next. */
  cut(bytes: Buffer, from: number, to: number): number;
  /** How the slice ends that was cut last. */
  sliceEnd(): SliceEnd;
  /** What follows is the body of the request, if it has one. */
  beginBody(message: IncomingMessage): void;
}

/** Follows the bytes of one connection. */
export function followRequests(): RequestFrames {
  let section: Section = "head";
  let sliceEnd: SliceEnd = "other";
  /** Bytes that are left of the body or chunk, with the line end of a chunk. */
  let bytesLeft = 0;
  let lineBytes = 0;
  let firstByte: number | undefined;
  /** Size of a chunk as far as it has been read; what follows its digits is skipped. */
  let size = 0;
  let sizeDigits = 0;
  let hasSize = false;
  /** Whether the head has begun: empty lines before it are skipped. */
  let hasLine = false;

  const enter = (next: Section, bytes = 0) => {
    section = next;
    bytesLeft = bytes;
    lineBytes = 0;
    size = 0;
    sizeDigits = 0;
    hasSize = false;
    hasLine = false;
  };
  const skip = (from: number, to: number, next: Section): number => {
    const end = Math.min(to, from + bytesLeft);
    bytesLeft -= end - from;
    if (bytesLeft === 0) enter(next);
    return end;
  };
  const endSizeLine = () => {
    if (sizeDigits === 0 || sizeDigits > maxSizeDigits) enter("head");
    else if (size === 0) enter("trailers");
    else enter("chunk", size + lineEndBytes);
  };
  const readSizeLine = (bytes: Buffer, from: number, to: number): number => {
    for (let index = from; index < to; index++) {
      const byte = bytes[index];
      if (byte === lineFeed) {
        endSizeLine();
        return index + 1;
      }
      const digit = hasSize ? undefined : digitValues[byte];
      if (digit === undefined) hasSize = true;
      else {
        size = size * hexadecimal + digit;
        sizeDigits += 1;
      }
    }
    return to;
  };
  const endLine = () => {
    const isEmpty = lineBytes === 0 || (lineBytes === 1 && firstByte === carriageReturn);
    lineBytes = 0;
    if (!isEmpty) hasLine = true;
    else if (section === "trailers") enter("head");
    else if (hasLine) {
      hasLine = false;
      sliceEnd = "empty line";
    }
  };
  const readLine = (bytes: Buffer, from: number, to: number): number => {
    if (lineBytes === 0) firstByte = bytes[from];
    const isReturn = lineBytes === 1 && firstByte === carriageReturn;
    if (isReturn && bytes[from] !== lineFeed) {
      firstByte = bytes[from];
      sliceEnd = "lone return";
      return from + 1;
    }
    // A carriage return at the beginning of a line is read by itself, as what follows it decides.
    const isAtReturn = lineBytes === 0 && firstByte === carriageReturn;
    const found = isAtReturn ? -1 : bytes.subarray(from, to).indexOf(lineFeed);
    const end = isAtReturn ? from + 1 : to;
    lineBytes += (found < 0 ? end : from + found) - from;
    if (found < 0) return end;
    endLine();
    return from + found + 1;
  };
  /** Most heads arrive whole, so that their lines need not be followed. */
  const readHead = (bytes: Buffer, from: number, to: number): number => {
    const end = hasLine || lineBytes > 0 ? undefined : findHeadEnd(bytes, from, to);
    if (end === undefined) return readLine(bytes, from, to);
    sliceEnd = "empty line";
    return end;
  };
  const readers: Readonly<Record<Section, (bytes: Buffer, from: number, to: number) => number>> = {
    head: readHead,
    body: (_bytes, from, to) => skip(from, to, "head"),
    "chunk size": readSizeLine,
    chunk: (_bytes, from, to) => skip(from, to, "chunk size"),
    trailers: readLine,
  };

  return {
    cut(bytes, from, to) {
      sliceEnd = "other";
      let end = from;
      while (end < to && sliceEnd === "other") end = readers[section](bytes, end, to);
      return end;
    },
    sliceEnd: () => sliceEnd,
    beginBody({ headers }) {
      if (headers["transfer-encoding"] !== undefined) return enter("chunk size");
      const bytes = Number(headers["content-length"] ?? 0);
      if (bytes > 0) enter("body", bytes);
    },
  };
}
