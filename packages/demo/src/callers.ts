/** HTTP client with which the demo sends requests as a caller. */

/** Response of `/v1/entries`: caller addresses of the boxes, and a ticket for non-repeatable requests. */
export interface EntriesResponse {
  readonly entries: readonly { readonly address: string; readonly box: string }[];
  readonly ticket: { readonly id: string };
}

/** Status, `linkfall-outcome` header (empty if absent) and body of a response. */
export interface RequestResult {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

/** Fetches the caller addresses and a ticket from a box. */
export async function fetchEntries(address: string, token: string): Promise<EntriesResponse> {
  const response = await fetch(`http://${address}/v1/entries`, {
    headers: { authorization: `Bearer ${token}` },
  });
  return (await response.json()) as EntriesResponse;
}

/** Sends a request, a POST if it has a body, and reads the complete response. */
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
