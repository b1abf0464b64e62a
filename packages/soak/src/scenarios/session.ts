/** One session from start to end, with its whole external exchange as text. */
import type { BodyPart, CallerRequest, CallerResponse } from "@linkfall/ports";
import { createOperators } from "./operators.js";
import { tokenOf } from "./resources.js";
import { createWorld, type World } from "./world.js";

const settleMs = 12_000;
const maxTraceLines = 60;
/** Time for one answer; all asking together ends before the ticket does. */
const answerWaitMs = 1_000;

async function bodyText(response: CallerResponse): Promise<string> {
  if (response.body instanceof Uint8Array) return Buffer.from(response.body).toString("utf8");
  let text = "";
  for await (const part of response.body as AsyncIterable<BodyPart>) {
    text += part.caseOf({
      Left: () => "<cut>",
      Right: (bytes) => Buffer.from(bytes).toString("utf8"),
    });
  }
  return text;
}

/** Random identifiers by order of appearance, and clock readings left out. */
function replaceVolatileText(lines: readonly string[]): string {
  const names = new Map<string, string>();
  const nameOf = (id: string) => {
    const name = names.get(id) ?? `<id${names.size + 1}>`;
    names.set(id, name);
    return name;
  };
  return `${lines
    .join("\n")
    .replace(/\b[0-9a-f]{12}\b/g, nameOf)
    .replace(/\.\d+\.\d+\.[0-9a-f]{24}/g, ".<ticket>")
    .replace(/2026-01-01T[0-9:.]+Z/g, "<time>")}\n`;
}

/** Plays the session and answers with its trace. */
export async function playSession(): Promise<string> {
  const lines: string[] = [];
  const isRecorded = (line: string) => !line.includes("/report") && !/linkfall-audit/.test(line);
  const world: World = createWorld(42, {
    trace: (line) => isRecorded(line) && lines.length < maxTraceLines && lines.push(line),
  });
  const operators = createOperators(world);
  for (const name of ["b1", "b2"]) await world.startBox(name);
  void operators.writeInitialState();
  await world.clock.runUntil(settleMs);

  const sendRequest = async (index: number, path: string, body?: unknown, headers = {}) => {
    const request: CallerRequest = {
      method: body === undefined ? "GET" : "POST",
      path,
      headers: { authorization: `Bearer ${tokenOf("dispatch")}`, ...headers },
      body: Buffer.from(body === undefined ? "" : JSON.stringify(body)),
      signal: new AbortController().signal,
    };
    lines.push(
      `caller to b${index + 1}: ${request.method} ${path} ${JSON.stringify(headers)} ${JSON.stringify(body ?? null)}`,
    );
    let answer: CallerResponse | undefined;
    let text = "";
    void world.call(world.boxes[index], request).then(async (response) => {
      answer = response;
      text = response ? await bodyText(response) : "";
    });
    await world.clock.runUntil(world.clock.now() + answerWaitMs);
    lines.push(
      `b${index + 1} to caller: ${answer?.status} ${answer?.headers["linkfall-outcome"]} ${text.trim()}`,
    );
    return text;
  };

  const directory = JSON.parse(await sendRequest(0, "/v1/entries"));
  const prompt = "Station log, Garching";
  await sendRequest(0, "/v1/completions", { model: "m0", prompt, max_tokens: 4 });
  await sendRequest(1, "/v1/completions", { model: "a2", prompt, max_tokens: 3, stream: true });
  const id = `${directory.ticket.id}/notice-1`;
  const notRepeatable = { "linkfall-repeatable": "false", "linkfall-request-id": id };
  await sendRequest(0, "/v1/completions", { model: "m2", prompt, max_tokens: 2 }, notRepeatable);
  await sendRequest(1, "/v1/completions", { model: "m2", prompt, max_tokens: 2 }, notRepeatable);
  await sendRequest(1, "/services/feed/alerts", { town: "Murnau" });
  await sendRequest(0, "/services/feed/snippets/17");
  await sendRequest(0, "/v1/completions", { model: "m1", prompt, max_tokens: 2 });
  lines.push(`violations: ${world.violations.length}`);
  return replaceVolatileText(lines);
}
