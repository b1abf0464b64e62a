/** Callers of a run. Each checks what it is told against what the targets really did. */
import { pick, sleep } from "@linkfall/kernel";
import type { BodyPart, CallerRequest, CallerResponse, HeaderMap } from "@linkfall/ports";
import { answerTokenCount, tokenAt } from "@linkfall/stand-ins";
import type { Milliseconds } from "@linkfall/types";
import { type AccountName, accounts, tokenOf } from "./resources.js";
import type { World, WorldBox } from "./world.js";

const meanRequestIntervalMs: Milliseconds = 60;
const retryDelayMs: Milliseconds = 300;
const maxAttempts = 4;
const maxTokens = 10;
const calledModels = 10;
/** The setting of 6 s, and a margin for word of peers that was under way. */
const maxStaleServingMs: Milliseconds = 7_000;

/** What one sending of a request came to, in the eyes of its caller. */
export type ReportedOutcome =
  "answered" | "not_run" | "failed" | "outcome_unknown" | "cut" | "no_connection";

interface RequestHistory {
  readonly key: string;
  readonly repeatable: boolean;
  readonly outcomes: ReportedOutcome[];
}

interface CachedEntries {
  entries: readonly string[];
  ticket: string;
  validUntil: Milliseconds;
}

export interface Callers {
  /** Sends requests until the given time; resolves when all have ended. */
  run(until: Milliseconds): Promise<void>;
  /** Sends one request to a model through a box and says what came of it. */
  probe(box: WorldBox, account: AccountName, model: string): Promise<ReportedOutcome>;
  /** Compares what callers were told with the runs at the targets. */
  check(): void;
  outcomeCounts(): ReadonlyMap<ReportedOutcome, number>;
  /** Requests that have had no answer of any kind. */
  unanswered(): readonly string[];
}

async function readBody(response: CallerResponse): Promise<{ text: string; cut: boolean }> {
  if (response.body instanceof Uint8Array) {
    return { text: Buffer.from(response.body).toString("utf8"), cut: false };
  }
  let text = "";
  let cut = false;
  for await (const part of response.body as AsyncIterable<BodyPart>) {
    part.ifRight((bytes) => (text += Buffer.from(bytes).toString("utf8")));
    cut ||= part.isLeft();
  }
  return { text, cut };
}

/** The text of a streamed answer; undefined when its end marker is missing. */
function streamedText(text: string): string | undefined {
  const events = text.split("\n\n").filter((event) => event !== "");
  if (events.at(-1) !== "data: [DONE]") return undefined;
  return events
    .slice(0, -1)
    .map((event) => JSON.parse(event.slice(event.indexOf("data: ") + 6)).choices[0].text)
    .join("");
}

/** Creates the callers of a world. */
export function createCallers(world: World): Callers {
  const { clock, random } = world;
  const histories: RequestHistory[] = [];
  const cachedEntries = new Map<AccountName, CachedEntries>();
  let startedRequests = 0;

  const request = (
    account: AccountName,
    path: string,
    body: unknown,
    headers: HeaderMap = {},
  ): CallerRequest => ({
    method: body === undefined ? "GET" : "POST",
    path,
    headers: { authorization: `Bearer ${tokenOf(account)}`, ...headers },
    body: Buffer.from(body === undefined ? "" : JSON.stringify(body)),
    signal: new AbortController().signal,
  });

  const entriesFor = async (account: AccountName): Promise<CachedEntries | undefined> => {
    const known = cachedEntries.get(account);
    if (known && clock.now() < known.validUntil) return known;
    const live = world.liveBoxes();
    if (live.length === 0) return undefined;
    const response = await world.call(
      pick(random, live),
      request(account, "/v1/entries", undefined),
    );
    if (!response || response.status !== 200) return undefined;
    const answer = JSON.parse((await readBody(response)).text);
    if (!answer.ticket) return undefined;
    const entries = {
      entries: answer.entries.map((entry: { box: string }) => entry.box),
      ticket: answer.ticket.id,
      validUntil: clock.now() + answer.lifetime_ms,
    };
    cachedEntries.set(account, entries);
    return entries;
  };

  /** The start of the named box that an address leads to now. */
  const findBox = (name: string) =>
    world.boxes.find((box) => box.name === name && box.process.state() !== "dead");

  const outcomeOf = async (
    response: CallerResponse | undefined,
    expected: string | undefined,
    streamed: boolean,
    key: string,
  ): Promise<ReportedOutcome> => {
    if (!response) return "no_connection";
    const { text, cut } = await readBody(response);
    if (cut) return "cut";
    if (response.status !== 200) return JSON.parse(text).error.outcome as ReportedOutcome;
    const answer = streamed ? streamedText(text) : undefined;
    if (streamed && answer === undefined) {
      world.violation(`a fragment looked like a whole answer: ${key}`);
    }
    const received = streamed
      ? answer
      : expected === undefined
        ? text
        : JSON.parse(text).choices?.[0]?.text;
    if (expected !== undefined && received !== expected) {
      world.violation(`wrong answer to ${key}: ${received} instead of ${expected}`);
    }
    if (expected === undefined && !text.includes(key)) {
      world.violation(`someone else's answer to ${key}: ${text}`);
    }
    return "answered";
  };

  const sendCompletion = async (
    conversation: RequestHistory,
    account: AccountName,
    boxName: string,
    model: string,
    streamed: boolean,
    headers: HeaderMap,
  ) => {
    const box = findBox(boxName);
    const sentAt = clock.now();
    const prompt = conversation.key;
    const body = { model, prompt, max_tokens: maxTokens, stream: streamed };
    const response =
      box && (await world.call(box, request(account, "/v1/completions", body, headers)));
    const engineRequest = {
      model: `model:${model.replace("a", "m")}@`,
      prompt,
      max_tokens: maxTokens,
    };
    const length = answerTokenCount(engineRequest);
    const expected = Array.from({ length }, (_, position) => tokenAt(engineRequest, position)).join(
      "",
    );
    const told = await outcomeOf(response, expected, streamed, prompt);
    checkIsolation(box, sentAt, told);
    conversation.outcomes.push(told);
  };

  const sendService = async (
    conversation: RequestHistory,
    account: AccountName,
    boxName: string,
    headers: HeaderMap,
  ) => {
    const box = findBox(boxName);
    const path = conversation.repeatable ? "/services/feed/snippets" : "/services/feed/alerts";
    const body = { id: conversation.key };
    const response = box && (await world.call(box, request(account, path, body, headers)));
    conversation.outcomes.push(await outcomeOf(response, undefined, false, conversation.key));
  };

  /** A box that has been cut off for long must not answer from what it last knew. */
  const checkIsolation = (
    box: WorldBox | undefined,
    sentAt: Milliseconds,
    told: ReportedOutcome,
  ) => {
    const since = box?.isolatedSince;
    if (told !== "answered" || since === undefined) return;
    const isolatedMs = sentAt - since;
    if (isolatedMs > maxStaleServingMs) {
      world.violation(`${box?.name} answered although cut off for ${isolatedMs} ms`);
    }
  };

  type Send = (box: string, headers: HeaderMap) => Promise<void>;

  /** A not repeatable request is sent again under its identifier after a broken connection. */
  const sendNotRepeatable = async (
    directory: CachedEntries,
    conversation: RequestHistory,
    send: Send,
  ) => {
    const id = `${directory.ticket}/${conversation.key.replaceAll(" ", ".")}`;
    const headers = { "linkfall-repeatable": "false", "linkfall-request-id": id };
    const sendDuplicate = random.nextFloat() < 0.2;
    if (sendDuplicate) void send(pick(random, directory.entries), headers);
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      await send(pick(random, directory.entries), headers);
      const last = conversation.outcomes.at(-1);
      if (last !== "no_connection" && last !== "cut") return;
      await sleep(clock, retryDelayMs);
    }
  };

  const sendRandomRequest = async () => {
    const account = pick(random, accounts);
    const number = ++startedRequests;
    const directory = await entriesFor(account);
    if (!directory || directory.entries.length === 0) return;
    const kind = random.nextFloat();
    const index = accounts.indexOf(account) + 2 * random.nextInt(calledModels / 2);
    const withAdapter = index < 3 && random.nextFloat() < 0.3;
    const model = withAdapter ? `a${index}` : `m${index}`;
    const streamed = random.nextFloat() < 0.5;
    const isService = kind > 0.75;
    const repeatable = isService ? kind > 0.9 : kind > 0.35;
    const key = `request ${number}`;
    const conversation: RequestHistory = { key, repeatable, outcomes: [] };
    histories.push(conversation);
    const send: Send = (box, headers) =>
      isService
        ? sendService(conversation, account, box, headers)
        : sendCompletion(conversation, account, box, model, streamed, headers);
    if (repeatable) await send(pick(random, directory.entries), {});
    else await sendNotRepeatable(directory, conversation, send);
  };

  const runsOf = (key: string) => {
    const serviceRuns = [...world.runs].filter(([run]) => run.includes(`"${key}"`));
    return (world.runs.get(key) ?? 0) + serviceRuns.reduce((sum, [, count]) => sum + count, 0);
  };

  return {
    async run(until) {
      const open = new Set<Promise<void>>();
      while (clock.now() < until) {
        const pending: Promise<void> = sendRandomRequest().finally(() => open.delete(pending));
        open.add(pending);
        await sleep(clock, 2 * meanRequestIntervalMs * random.nextFloat());
      }
      await Promise.all(open);
    },
    async probe(box, account, model) {
      const conversation: RequestHistory = {
        key: `probe ${++startedRequests}`,
        repeatable: true,
        outcomes: [],
      };
      histories.push(conversation);
      await sendCompletion(conversation, account, box.name, model, false, {});
      return conversation.outcomes[0];
    },
    check() {
      for (const { key, repeatable, outcomes: told } of histories) {
        const runs = runsOf(key);
        if (!repeatable && runs > 1) world.violation(`${key} ran ${runs} times`);
        const refused = told.length > 0 && told.every((word) => word === "not_run");
        if (refused && runs > 0) world.violation(`${key} was refused as not run, yet it ran`);
      }
    },
    unanswered: () =>
      histories.filter(({ outcomes: told }) => told.length === 0).map(({ key }) => key),
    outcomeCounts() {
      const counts = new Map<ReportedOutcome, number>();
      for (const { outcomes: told } of histories) {
        const last = told.includes("answered") ? "answered" : told.at(-1);
        if (last) counts.set(last, (counts.get(last) ?? 0) + 1);
      }
      return counts;
    },
  };
}
