/** Commands that the model proposes: a file with a number, or the authority's decision of a dispute in favour of one content. */
export const COMMANDS = {
  start: { kind: 'start' },
  fileOne: { kind: 'file', number: 1, content: 'a' },
  fileOneOther: { kind: 'file', number: 1, content: 'b' },
  fileTwo: { kind: 'file', number: 2, content: 'c' },
  decideOther: { kind: 'decision', content: 'b' }
} as const

/** Name of a command. `start` is the first entry of a leader's term. */
export type CommandName = keyof typeof COMMANDS

/** The file in force. `disputed` is the content of the candidate in an open dispute; empty if there is none. */
export interface AcceptedFile {
  readonly number: number
  readonly content: string
  readonly disputed: string
}

/** State before any file is accepted. */
export const NO_FILE: AcceptedFile = { number: 0, content: '', disputed: '' }

/** Acceptance rules. Each can be turned off to check that the model checker detects its absence. */
export interface AcceptanceRules {
  readonly refuseStale: boolean
  readonly holdDisputes: boolean
}

/** Applies one committed command and returns the new file in force. */
export function accept (file: AcceptedFile, name: CommandName, rules: AcceptanceRules): AcceptedFile {
  const command = COMMANDS[name]
  if (command.kind === 'start') return file
  if (command.kind === 'decision') return decide(file, command.content)
  if (file.disputed !== '') return file
  if (command.number > file.number) return { number: command.number, content: command.content, disputed: '' }
  if (command.number < file.number) return rules.refuseStale ? file : { ...command, disputed: '' }
  if (command.content === file.content) return file
  return rules.holdDisputes ? { ...file, disputed: command.content } : { ...command, disputed: '' }
}

function decide (file: AcceptedFile, content: string): AcceptedFile {
  if (file.disputed === '') return file
  const inForce = content === file.disputed ? content : file.content
  return { number: file.number + 1, content: inForce, disputed: '' }
}

/** Whether no accepted file was replaced by one with a lower number. */
export function neverReverts (names: readonly CommandName[], rules: AcceptanceRules): boolean {
  return everyStep(names, rules, (before, after) => after.number >= before.number)
}

/** Whether the content of an accepted number never changed, whatever else was proposed under that number. */
export function disputesNeedDecision (names: readonly CommandName[], rules: AcceptanceRules): boolean {
  return everyStep(names, rules, (before, after) => after.number !== before.number || after.content === before.content)
}

function everyStep (names: readonly CommandName[], rules: AcceptanceRules, holds: (before: AcceptedFile, after: AcceptedFile) => boolean): boolean {
  let file = NO_FILE
  for (const name of names) {
    const next = accept(file, name, rules)
    if (!holds(file, next)) return false
    file = next
  }
  return true
}
