/** The connections of one server by what they do, and which one gives way when there are too many. */

/**
 * What a connection does: `fresh` ones have not sent a whole head, `reading` ones are sending the body of a request, `serving` ones
 * wait for a response, and `idle` ones have had one.
 */
export type ConnectionState = "fresh" | "reading" | "serving" | "idle";

const givingWay = ["fresh", "reading", "idle"] as const satisfies readonly ConnectionState[];

export interface ConnectionTable<Connection> {
  add(connection: Connection): void;
  setState(connection: Connection, state: ConnectionState): void;
  stateOf(connection: Connection): ConnectionState | undefined;
  remove(connection: Connection): void;
  size(): number;
  /** Connections in the state, the one that has been in it for longest first. */
  inState(state: ConnectionState): Iterable<Connection>;
  /**
   * Returns the connection that gives way to the newest one: of the state that most connections are in, the one that has been in it
   * for longest. Undefined if all others wait for responses.
   */
  findSpare(newest: Connection): Connection | undefined;
}

/** Creates an empty table; each operation takes constant time. */
export function createConnectionTable<Connection>(): ConnectionTable<Connection> {
  const states = new Map<Connection, ConnectionState>();
  /** Sets keep the order in which connections entered their state. */
  const members: Record<ConnectionState, Set<Connection>> = {
    fresh: new Set(),
    reading: new Set(),
    serving: new Set(),
    idle: new Set(),
  };
  const remove = (connection: Connection) => {
    const state = states.get(connection);
    if (state === undefined) return;
    states.delete(connection);
    members[state].delete(connection);
  };
  const enter = (connection: Connection, state: ConnectionState) => {
    states.set(connection, state);
    members[state].add(connection);
  };
  return {
    add: (connection) => enter(connection, "fresh"),
    setState(connection, state) {
      if (!states.has(connection)) return;
      remove(connection);
      enter(connection, state);
    },
    stateOf: (connection) => states.get(connection),
    remove,
    size: () => states.size,
    inState: (state) => members[state],
    findSpare(newest) {
      const others = (state: ConnectionState) =>
        members[state].size - (members[state].has(newest) ? 1 : 0);
      const [largest] = [...givingWay].sort((left, right) => others(right) - others(left));
      if (others(largest) === 0) return undefined;
      const [oldest] = members[largest];
      return oldest;
    },
  };
}
