/** Prints the lines of source, tests and soak test; fails when the soak test makes up a tenth of the code or more. */
import { readFile, readdir } from 'node:fs/promises'
import { join } from 'node:path'

const FOLDERS = ['packages', 'platform', 'scripts'] as const
const MAX_SOAK_SHARE = 1 / 10
const SOAK_FILE = /soak/

async function listFiles (): Promise<string[]> {
  const lists = await Promise.all(FOLDERS.map(async (folder) => (await readdir(folder, { recursive: true })).map((name) => join(folder, name))))
  return lists.flat().filter((name) => name.endsWith('.ts') && !name.includes('node_modules') && !name.includes('generated'))
}

async function countLines (files: readonly string[]): Promise<number> {
  const contents = await Promise.all(files.map(async (file) => await readFile(file, 'utf8')))
  return contents.reduce((sum, content) => sum + content.split('\n').length - 1, 0)
}

const files = await listFiles()
const tests = await countLines(files.filter((file) => file.includes('/tests/')))
const source = await countLines(files.filter((file) => !file.includes('/tests/')))
const soak = await countLines(files.filter((file) => SOAK_FILE.test(file)))
const share = soak / (tests + source)
console.log(`lines: ${source} source, ${tests} tests, ${soak} of the soak (${(100 * share).toFixed(1)} % of all)`)
process.exitCode = share < MAX_SOAK_SHARE ? 0 : 1
