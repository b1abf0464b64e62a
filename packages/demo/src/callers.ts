/** The requests of the demo, sent over HTTP as callers send them. */

/** A ticket and the addresses to use. */
export interface EntriesResponse {
  readonly entries: readonly { readonly address: string; readonly box: string }[];
  readonly ticket: { readonly id: string };
}

/** What came of one request. */
export interface RequestResult {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

export async function fetchEntries(address: string, token: string): Promise<EntriesResponse> {
  const response = await fetch(`http://${address}/v1/entries`, {
    headers: { authorization: `Bearer ${token}` },
  });
  return (await response.json()) as EntriesResponse;
}

/** Sends a request and reads its answer whole. */
export async function sendRequest(
  address: string,
  token: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<RequestResult> {
  const response = await fetch(`http://${address}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: { authorization: `Bearer ${token}`, "content-type": "application/json", ...headers },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const text = await response.text();
  return { status: response.status, outcome: response.headers.get("linkfall-outcome") ?? "", text };
}
