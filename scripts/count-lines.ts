/** Prints the lines of source and of tests; fails when tests are a third of all lines or more. */
import { readFile, readdir } from 'node:fs/promises'
import { join } from 'node:path'

const FOLDERS = ['packages', 'platform', 'scripts'] as const
const LARGEST_TEST_SHARE = 1 / 3

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
const share = tests / (tests + source)
console.log(`lines: ${source} source, ${tests} tests (${(100 * share).toFixed(1)} % of all)`)
process.exitCode = share < LARGEST_TEST_SHARE ? 0 : 1
