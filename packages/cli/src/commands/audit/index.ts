/** `linkfall audit` */
import type { AuditResponse } from "@linkfall/operator-service";
import { Command } from "clipanion";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";
import type { TableRow } from "../../table.js";

/** Table rows of the audit trail, oldest first: operators' writes and actions of the system. */
function toRows({ writes, actions }: AuditResponse): readonly TableRow[] {
  const writeRows = writes.flatMap((write) =>
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
  const actionRows = actions.map((entry): TableRow => [
    entry.at,
    `${entry.who} (${entry.box})`,
    entry.action,
    `${entry.subject.kind}/${entry.subject.name}`,
    "",
    "",
    entry.detail,
  ]);
  return [...writeRows, ...actionRows].sort((a, b) => (a[0] < b[0] ? -1 : 1));
}

export class AuditCommand extends OperatorCommand {
  static override paths = [["audit"]];
  static override usage = Command.Usage({
    description: "show changes by operators, and actions of the system with their reasons",
    examples: [["The whole trail as JSON", "linkfall audit --output json"]],
  });

  async execute(): Promise<ExitCode> {
    const headers = ["TIME", "WHO", "ACTION", "SUBJECT", "OLD", "NEW", "DETAIL"];
    return this.handleResult(await this.client().audit(), (response) =>
      this.printValue(response, headers, () => toRows(response)),
    );
  }
}
