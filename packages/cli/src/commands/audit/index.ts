/** `linkfall audit` */
import type { AuditResponse } from "@linkfall/operator-service";
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";
import type { TableRow } from "../../table.js";

/** One line of the trail: writes of operators and actions of the system, oldest first. */
function toRows({ writes, actions }: AuditResponse): readonly TableRow[] {
  const written = writes.flatMap((write) =>
    write.changes.map((change): TableRow => {
      const subject = `${change.subject.kind}/${change.subject.name}`;
      const fields = change.fields.join(",");
      return [
        write.at,
        write.who,
        change.action,
        subject,
        change.oldRevision,
        write.revision,
        fields,
      ];
    }),
  );
  const acted = actions.map((entry): TableRow => [
    entry.at,
    `${entry.who} (${entry.box})`,
    entry.action,
    `${entry.subject.kind}/${entry.subject.name}`,
    "",
    "",
    entry.detail,
  ]);
  return [...written, ...acted].sort((a, b) => (a[0] < b[0] ? -1 : 1));
}

export class AuditCommand extends OperatorCommand {
  static override paths = [["audit"]];
  static override usage = Command.Usage({
    description: "show who changed what, and what the system did and why",
    examples: [["The whole trail as JSON", "linkfall audit --output json"]],
  });

  async execute(): Promise<ExitCode> {
    const heads = ["TIME", "WHO", "ACTION", "SUBJECT", "OLD", "NEW", "DETAIL"];
    return this.handleResult(await this.client().audit(), (answer) =>
      this.printValue(answer, heads, () => toRows(answer)),
    );
  }
}
