/** The requests of the demo, sent over HTTP as callers send them. */

/** A ticket and the addresses to use. */
export interface Entries {
  readonly entries: readonly { readonly address: string; readonly box: string }[];
  readonly ticket: { readonly id: string };
}

/** What came of one request. */
export interface Answered {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

export async function askEntries(address: string, token: string): Promise<Entries> {
  const answer = await fetch(`http://${address}/v1/entries`, {
    headers: { authorization: `Bearer ${token}` },
  });
  return (await answer.json()) as Entries;
}

/** Sends a request and reads its answer whole. */
export async function call(
  address: string,
  token: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Answered> {
  const answer = await fetch(`http://${address}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: { authorization: `Bearer ${token}`, "content-type": "application/json", ...headers },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const text = await answer.text();
  return { status: answer.status, outcome: answer.headers.get("linkfall-outcome") ?? "", text };
}
