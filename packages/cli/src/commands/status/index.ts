/** `linkfall status` */
import type { StatusResponse } from "@linkfall/operator-service";
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";
import { renderTable } from "../../table.js";

function summarise(status: StatusResponse): string {
  const drain = `${status.drain.phase}, ${status.drain.requestsInFlight} requests in flight`;
  const isolation = status.isolated ? ", isolated" : "";
  const heldPools = status.sessions.map(
    (session) =>
      `holds pool ${session.pool} (epoch ${session.epoch}, ${session.openOrders} open orders` +
      `${session.fenceStands ? "" : ", fence not yet in place on all engines"})`,
  );
  return [`box ${status.box}: offset ${status.offset}, ${drain}${isolation}`, ...heldPools].join(
    "\n",
  );
}

export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "show a box's own state, including a planned stop, and its models and engines",
    examples: [["Show the status of a box", "linkfall status --box http://10.0.0.3:7072"]],
  });

  async execute(): Promise<ExitCode> {
    return this.handleResult(await this.client().status(), (status) => {
      if (this.output === "json") return this.printLine(JSON.stringify(status, undefined, 2));
      this.printLine(summarise(status));
      this.printLine("");
      this.context.stdout.write(
        renderTable(
          ["MODEL", "VERSION", "READY", "LOADING", "OLDER", "ADAPTERS"],
          status.models.map((model) => [
            model.model,
            model.version,
            model.ready,
            model.loading,
            model.readyOld,
            `${model.adaptersReady}/${model.adapters}`,
          ]),
        ),
      );
      this.printLine("");
      this.context.stdout.write(
        renderTable(
          ["ENGINE", "STATE", "ROLE", "RUNNING", "QUEUED", "RESIDENT"],
          status.engines.map((engine) => [
            engine.engine,
            engine.leaving ? "leaving" : engine.reported ? "reporting" : "silent",
            engine.role ?? "",
            engine.running,
            engine.queued,
            engine.residents.length,
          ]),
        ),
      );
    });
  }
}
