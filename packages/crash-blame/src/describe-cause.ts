/** Words for callers about what crashes targets. */
import type { SuspectKind } from "@linkfall/types";

const causeTexts: Readonly<Record<SuspectKind, string>> = {
  request: "this request",
  "prompt part": "a part of this prompt",
  "prompt beginning": "the beginning of this prompt",
  adapter: "this adapter",
};

/** What a refusal names as the cause, such as "a part of this prompt". */
export function describeCause(kind: SuspectKind = "request"): string {
  return causeTexts[kind];
}
