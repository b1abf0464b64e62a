/** Connections of a TLS server that have not completed their handshake; they count like others. */
import type { Server } from "node:http";
import { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import type { ConnectionTable } from "./connection-table.js";

/** Returns a function to be called with each connection that has completed its handshake. */
export function trackHandshakes(
  server: Server | TlsServer,
  table: ConnectionTable<Socket>,
  makeRoom: (newest: Socket) => void,
): (socket: Socket) => void {
  if (!(server instanceof TlsServer)) return () => undefined;
  /** By the address of their client, since the connection has another socket behind its handshake. */
  const handshakes = new Map<string, Socket>();
  const clientOf = ({ remoteAddress, remotePort }: Socket) => `${remoteAddress}:${remotePort}`;
  server.on("connection", (socket: Socket) => {
    const client = clientOf(socket);
    handshakes.set(client, socket);
    table.add(socket);
    socket.once("close", () => {
      table.remove(socket);
      handshakes.delete(client);
    });
    makeRoom(socket);
  });
  return (socket) => {
    const inHandshake = handshakes.get(clientOf(socket));
    if (inHandshake) table.remove(inHandshake);
  };
}
