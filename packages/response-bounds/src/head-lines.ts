/** Finds header sections that Node's parser ends at a carriage return which no line feed follows. */
import { findHeadEnd } from "@linkfall/header-syntax";

const carriageReturn = 0x0d;
const lineFeed = 0x0a;
/** A status line that is not the last one of a response, from its first bytes. */
const informational = /^HTTP\/\d\.\d 1/;
const statusLineBytes = 12;

export interface HeadLines {
  /** Takes the bytes of a read; true if a header section in them ends at a lone carriage return. Bytes behind the last head are skipped. */
  read(bytes: Buffer): boolean;
  /** Bytes up to the end of the last head, or of all reads while it has not ended. */
  headBytes(): number;
}

/** Follows the heads of one response: informational ones, and the final one. */
export function followHeadLines(): HeadLines {
  let isDone = false;
  let isInHead = false;
  let statusLine = "";
  let firstByte: number | undefined;
  let lineBytes = 0;
  let headBytes = 0;

  const take = (part: Buffer) => {
    if (lineBytes === 0) firstByte = part[0];
    lineBytes += part.length;
    if (!isInHead && statusLine.length < statusLineBytes)
      statusLine += part.toString("latin1", 0, statusLineBytes);
  };
  const endLine = () => {
    const isEmpty = lineBytes === 0 || (lineBytes === 1 && firstByte === carriageReturn);
    lineBytes = 0;
    if (isInHead && !isEmpty) return;
    isDone = isInHead && !informational.test(statusLine);
    isInHead = !isInHead && !isEmpty;
    if (!isInHead) statusLine = "";
  };

  /** Skips a head that is whole; returns its end, or undefined if its lines have to be followed. */
  const skipWholeHead = (bytes: Buffer, from: number): number | undefined => {
    if (isInHead || lineBytes > 0) return undefined;
    const end = findHeadEnd(bytes, from, bytes.length);
    if (end === undefined) return undefined;
    isDone = !informational.test(bytes.toString("latin1", from, from + statusLineBytes));
    headBytes += end - from;
    return end;
  };

  return {
    read(bytes) {
      for (let start = 0; !isDone && start < bytes.length;) {
        const from = start;
        const headEnd = skipWholeHead(bytes, from);
        if (headEnd !== undefined) {
          start = headEnd;
          continue;
        }
        const found = bytes.indexOf(lineFeed, from);
        const end = found < 0 ? bytes.length : found;
        if (end > from) take(bytes.subarray(from, end));
        if (isInHead && lineBytes > 1 && firstByte === carriageReturn) return true;
        if (found >= 0) endLine();
        start = found < 0 ? end : end + 1;
        headBytes += start - from;
      }
      return false;
    },
    headBytes: () => headBytes,
  };
}
