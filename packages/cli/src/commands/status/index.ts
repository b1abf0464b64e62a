/** `linkfall status` */
import type { StatusResponse } from "@linkfall/operator-service";
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";
import { renderTable } from "../../table.js";

function summary(answer: StatusResponse): string {
  const drain = `${answer.drain.phase}, ${answer.drain.requestsInFlight} requests in flight`;
  const cut = answer.isolated ? ", cut off" : "";
  const held = answer.sessions.map(
    (session) =>
      `holds pool ${session.pool} (epoch ${session.epoch}, ${session.openOrders} open orders` +
      `${session.fenceStands ? "" : ", fence not yet everywhere"})`,
  );
  return [`box ${answer.box}: offset ${answer.offset}, ${drain}${cut}`, ...held].join("\n");
}

export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "show models, engines and a box's own state, its planned stop included",
    examples: [["State of a box that is stopping", "linkfall status --box http://10.0.0.3:7072"]],
  });

  async execute(): Promise<ExitCode> {
    return this.handleResult(await this.client().status(), (answer) => {
      if (this.output === "json") return this.printLine(JSON.stringify(answer, undefined, 2));
      this.printLine(summary(answer));
      this.printLine("");
      this.context.stdout.write(
        renderTable(
          ["MODEL", "VERSION", "READY", "LOADING", "OLDER", "ADAPTERS"],
          answer.models.map((model) => [
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
          answer.engines.map((engine) => [
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
