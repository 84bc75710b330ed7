/** What may be proposed: a file of a number, or the authority's decision of a dispute in favour of a content. */
export const COMMANDS = {
  start: { kind: 'start' },
  fileOne: { kind: 'file', number: 1, content: 'a' },
  fileOneOther: { kind: 'file', number: 1, content: 'b' },
  fileTwo: { kind: 'file', number: 2, content: 'c' },
  decideOther: { kind: 'decision', content: 'b' }
} as const

/** Name of one of the commands. `start` is the entry with which a leader begins its term. */
export type CommandName = keyof typeof COMMANDS

/** The file in force, and the dispute that waits for a decision. */
export interface AcceptedFile {
  readonly number: number
  readonly content: string
  readonly disputed: string
}

/** Nothing was ever accepted. */
export const NO_FILE: AcceptedFile = { number: 0, content: '', disputed: '' }

/** Rules of acceptance that can be left out to see that the checker notices. */
export interface AcceptanceRules {
  readonly refuseStale: boolean
  readonly holdDisputes: boolean
}

/** The file in force after one more committed command. */
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

/** Whether an accepted file never gave way to one of a lower number. */
export function neverReverts (names: readonly CommandName[], rules: AcceptanceRules): boolean {
  return everyStep(names, rules, (before, after) => after.number >= before.number)
}

/** Whether at an equal number the content stayed, whatever else was proposed under that number. */
export function disputeWaits (names: readonly CommandName[], rules: AcceptanceRules): boolean {
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
