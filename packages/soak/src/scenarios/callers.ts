/** Simulated callers. They check the outcomes that boxes report against the runs at the targets. */
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
/** `stale_serving_ms` of the settings plus a margin for heartbeats in transit. */
const maxStaleServingMs: Milliseconds = 7_000;

/** Outcome of one attempt as the caller observed it. */
export type ReportedOutcome =
  "answered" | "not_run" | "failed" | "outcome_unknown" | "cut" | "no_connection";

/** A request and the outcomes of its attempts. */
interface RequestHistory {
  readonly key: string;
  readonly repeatable: boolean;
  readonly outcomes: ReportedOutcome[];
}

/** Boxes and ticket that an account received from `/v1/entries`. */
interface CachedEntries {
  entries: readonly string[];
  ticket: string;
  validUntil: Milliseconds;
}

/** The callers of a simulated deployment. */
export interface Callers {
  /** Sends requests until the given time; resolves when all have ended. */
  run(until: Milliseconds): Promise<void>;
  /** Sends one request for a model to a box and resolves to its outcome. */
  probe(box: WorldBox, account: AccountName, model: string): Promise<ReportedOutcome>;
  /** Checks the reported outcomes against the runs at the targets. */
  check(): void;
  /** Number of requests by final outcome. */
  outcomeCounts(): ReadonlyMap<ReportedOutcome, number>;
  /** Requests without any outcome. */
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

/** Returns the text of a streamed answer, or undefined if the end marker is missing. */
function streamedText(text: string): string | undefined {
  const events = text.split("\n\n").filter((event) => event !== "");
  if (events.at(-1) !== "data: [DONE]") return undefined;
  return events
    .slice(0, -1)
    .map((event) => JSON.parse(event.slice(event.indexOf("data: ") + 6)).choices[0].text)
    .join("");
}

/** Creates the callers of a simulated deployment. */
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
    const cached = cachedEntries.get(account);
    if (cached && clock.now() < cached.validUntil) return cached;
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

  /** Finds the current incarnation of a box. */
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
      world.violation(`truncated answer was reported as complete: ${key}`);
    }
    const received = streamed
      ? answer
      : expected === undefined
        ? text
        : JSON.parse(text).choices?.[0]?.text;
    if (expected !== undefined && received !== expected) {
      world.violation(`wrong answer to ${key}: got ${received}, expected ${expected}`);
    }
    if (expected === undefined && !text.includes(key)) {
      world.violation(`answer of another request for ${key}: ${text}`);
    }
    return "answered";
  };

  const sendCompletion = async (
    history: RequestHistory,
    account: AccountName,
    boxName: string,
    model: string,
    streamed: boolean,
    headers: HeaderMap,
  ) => {
    const box = findBox(boxName);
    const sentAt = clock.now();
    const prompt = history.key;
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
    const outcome = await outcomeOf(response, expected, streamed, prompt);
    checkIsolation(box, sentAt, outcome);
    history.outcomes.push(outcome);
  };

  const sendService = async (
    history: RequestHistory,
    account: AccountName,
    boxName: string,
    headers: HeaderMap,
  ) => {
    const box = findBox(boxName);
    const path = history.repeatable ? "/services/feed/snippets" : "/services/feed/alerts";
    const body = { id: history.key };
    const response = box && (await world.call(box, request(account, path, body, headers)));
    history.outcomes.push(await outcomeOf(response, undefined, false, history.key));
  };

  /** Checks that a box does not serve stale state after it has been isolated for too long. */
  const checkIsolation = (
    box: WorldBox | undefined,
    sentAt: Milliseconds,
    outcome: ReportedOutcome,
  ) => {
    const since = box?.isolatedSince;
    if (outcome !== "answered" || since === undefined) return;
    const isolatedMs = sentAt - since;
    if (isolatedMs > maxStaleServingMs) {
      world.violation(`${box?.name} answered after being isolated for ${isolatedMs} ms`);
    }
  };

  type Send = (box: string, headers: HeaderMap) => Promise<void>;

  /** Sends a non-repeatable request; retries with the same identifier after a broken connection. */
  const sendNotRepeatable = async (
    entryList: CachedEntries,
    history: RequestHistory,
    send: Send,
  ) => {
    const id = `${entryList.ticket}/${history.key.replaceAll(" ", ".")}`;
    const headers = { "linkfall-repeatable": "false", "linkfall-request-id": id };
    const sendDuplicate = random.nextFloat() < 0.2;
    if (sendDuplicate) void send(pick(random, entryList.entries), headers);
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      await send(pick(random, entryList.entries), headers);
      const last = history.outcomes.at(-1);
      if (last !== "no_connection" && last !== "cut") return;
      await sleep(clock, retryDelayMs);
    }
  };

  const sendRandomRequest = async () => {
    const account = pick(random, accounts);
    const number = ++startedRequests;
    const entryList = await entriesFor(account);
    if (!entryList || entryList.entries.length === 0) return;
    const kindFraction = random.nextFloat();
    const index = accounts.indexOf(account) + 2 * random.nextInt(calledModels / 2);
    const withAdapter = index < 3 && random.nextFloat() < 0.3;
    const model = withAdapter ? `a${index}` : `m${index}`;
    const streamed = random.nextFloat() < 0.5;
    const isService = kindFraction > 0.75;
    const repeatable = isService ? kindFraction > 0.9 : kindFraction > 0.35;
    const key = `request ${number}`;
    const history: RequestHistory = { key, repeatable, outcomes: [] };
    histories.push(history);
    const send: Send = (box, headers) =>
      isService
        ? sendService(history, account, box, headers)
        : sendCompletion(history, account, box, model, streamed, headers);
    if (repeatable) await send(pick(random, entryList.entries), {});
    else await sendNotRepeatable(entryList, history, send);
  };

  const runsOf = (key: string) => {
    const serviceRuns = [...world.runs].filter(([run]) => run.includes(`"${key}"`));
    return (world.runs.get(key) ?? 0) + serviceRuns.reduce((sum, [, count]) => sum + count, 0);
  };

  return {
    async run(until) {
      const pendingRequests = new Set<Promise<void>>();
      while (clock.now() < until) {
        const pending: Promise<void> = sendRandomRequest().finally(() =>
          pendingRequests.delete(pending),
        );
        pendingRequests.add(pending);
        await sleep(clock, 2 * meanRequestIntervalMs * random.nextFloat());
      }
      await Promise.all(pendingRequests);
    },
    async probe(box, account, model) {
      const history: RequestHistory = {
        key: `probe ${++startedRequests}`,
        repeatable: true,
        outcomes: [],
      };
      histories.push(history);
      await sendCompletion(history, account, box.name, model, false, {});
      return history.outcomes[0];
    },
    check() {
      for (const { key, repeatable, outcomes } of histories) {
        const runs = runsOf(key);
        if (!repeatable && runs > 1) world.violation(`${key} ran ${runs} times`);
        const reportedNotRun =
          outcomes.length > 0 && outcomes.every((outcome) => outcome === "not_run");
        if (reportedNotRun && runs > 0)
          world.violation(`${key} was reported as not run, but it ran`);
      }
    },
    unanswered: () =>
      histories.filter(({ outcomes }) => outcomes.length === 0).map(({ key }) => key),
    outcomeCounts() {
      const counts = new Map<ReportedOutcome, number>();
      for (const { outcomes } of histories) {
        const last = outcomes.includes("answered") ? "answered" : outcomes.at(-1);
        if (last) counts.set(last, (counts.get(last) ?? 0) + 1);
      }
      return counts;
    },
  };
}
