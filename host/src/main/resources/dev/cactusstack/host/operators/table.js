"use strict";

const POLL_MS = 1000;
const COLUMNS = ["weight", "limit", "upstream_limit"];
const rowsBody = document.getElementById("rows");
const summary = document.getElementById("summary");
const login = document.getElementById("login");
const notes = new Map(); // Row key to the result of the last edit.
let table = { version: 0, rows: [], data_centres: [] };
let force = { version: 0, in_force: 0, hosts_total: 0, hosts: [] };
let editing = null;

function headers() {
  const token = sessionStorage.getItem("token");
  return token ? { Authorization: "Bearer " + token } : {};
}

async function get(path) {
  const reply = await fetch(path, { headers: headers(), cache: "no-store" });
  if (reply.status === 401) {
    login.hidden = false;
    throw new Error("not authorised: enter the operators' token");
  }
  return reply.json();
}

async function post(path, body) {
  const options = {
    method: "POST",
    headers: { ...headers(), "Content-Type": "application/json" },
    body: JSON.stringify(body),
  };
  const reply = await fetch(path, options);
  return reply.json();
}

const keyOf = (row) => row.service + "/" + row.data_centre;

function stateOf(row) {
  const note = notes.get(keyOf(row));
  if (note && !(note.kind === "accepted" && row.version >= note.version)) {
    return note;
  }
  const hosts = force.hosts || [];
  const have = hosts.filter((h) => h.version >= row.version).length;
  return { kind: "saved", text: `saved; in force on ${have} of ${hosts.length} hosts` };
}

function cell(tag, text, className) {
  const td = document.createElement(tag);
  td.textContent = text;
  if (className) td.className = className;
  return td;
}

function render() {
  if (editing) {
    renderStates();
    return;
  }
  const focused = document.activeElement && document.activeElement.dataset ? document.activeElement.dataset.at : null;
  rowsBody.replaceChildren(...table.rows.map(renderRow));
  if (focused) focusAt(focused);
  renderDataCentres();
  renderSummary();
}

function renderRow(row) {
  const tr = document.createElement("tr");
  tr.dataset.key = keyOf(row);
  tr.append(cell("th", row.service), cell("td", row.data_centre));
  COLUMNS.forEach((column) => {
    const td = cell("td", row[column], "number");
    td.tabIndex = 0;
    td.dataset.at = keyOf(row) + ":" + column;
    td.setAttribute("role", "gridcell");
    td.setAttribute("aria-label", `${row.service} ${row.data_centre} ${column} ${row[column]}`);
    tr.append(td);
  });
  tr.append(cell("td", row.version, "number"), cell("td", "", "state"));
  showState(tr, row);
  return tr;
}

function showState(tr, row) {
  const state = stateOf(row);
  tr.className = state.kind;
  tr.querySelector("td.state").textContent = state.text;
}

function renderStates() {
  table.rows.forEach((row) => {
    const tr = rowsBody.querySelector(`tr[data-key="${keyOf(row)}"]`);
    if (tr) showState(tr, row);
  });
  renderSummary();
}

function renderSummary() {
  const store = force.table_service_reachable === false ? " The platform's table service cannot be reached; edits are not accepted now." : "";
  summary.textContent = `Version ${force.version} is in force on ${force.in_force} of ${force.hosts_total} hosts.${store}`;
}

function renderDataCentres() {
  const list = document.getElementById("data-centres");
  const focused = document.activeElement && document.activeElement.dataset ? document.activeElement.dataset.dc : null;
  list.replaceChildren(...table.data_centres.map((d) => {
    const li = cell("li", `${d.data_centre}: ${d.out ? "out" : "in"}`);
    const button = cell("button", d.out ? "Take in" : "Take out");
    button.dataset.dc = d.data_centre;
    button.onclick = () => moveDataCentre(d);
    li.append(button);
    return li;
  }));
  if (focused) {
    const button = list.querySelector(`button[data-dc="${focused}"]`);
    if (button) button.focus();
  }
}

async function moveDataCentre(d) {
  const verb = d.out ? "in" : "out";
  if (!window.confirm(`Take ${d.data_centre} ${verb}?`)) return;
  const reply = await post("/v1/data-centres/" + d.data_centre, { out: !d.out });
  if (reply.outcome !== "accepted") {
    summary.textContent = `${reply.outcome}: ${reply.message}. ${reply.remedy}`;
    return;
  }
  await refresh();
}

function focusAt(at) {
  const td = rowsBody.querySelector(`td[data-at="${at}"]`);
  if (td) td.focus();
}

function move(td, dx, dy) {
  const tr = td.parentElement;
  const cells = [...tr.querySelectorAll("td[data-at]")];
  const column = cells.indexOf(td) + dx;
  const target = dy === 0 ? tr : dy > 0 ? tr.nextElementSibling : tr.previousElementSibling;
  if (!target) return;
  const next = target.querySelectorAll("td[data-at]")[column];
  if (next) next.focus();
}

function beginEdit(td, first) {
  const at = td.dataset.at;
  const old = td.textContent;
  const row = table.rows.find((r) => at.startsWith(keyOf(r) + ":"));
  const input = document.createElement("input");
  input.value = first === undefined ? old : first;
  input.inputMode = "numeric";
  input.setAttribute("aria-label", td.getAttribute("aria-label"));
  editing = { td, at, old, row, input };
  td.replaceChildren(input);
  input.focus();
  if (first === undefined) input.select();
}

function endEdit(save) {
  const { td, at, old, row, input } = editing;
  const value = input.value.trim();
  editing = null;
  td.textContent = save ? value : old;
  td.focus();
  if (save && value !== old) saveCell(row, at.split(":")[1], value);
}

async function saveCell(row, column, value) {
  const key = keyOf(row);
  notes.set(key, { kind: "saving", text: `saving ${column} ${value}` });
  render();
  const body = {
    edits: [{ service: row.service, data_centre: row.data_centre, values: { [column]: value }, if_version: row.version }],
  };
  try {
    notes.set(key, noteOf(await post("/v1/edits", body), column));
  } catch (e) {
    notes.set(key, { kind: "problem", text: `unknown: no response. Reload the page to see whether ${column} was saved.` });
  }
  await refresh();
}

function noteOf(reply, column) {
  if (reply.outcome === "accepted") {
    return { kind: "accepted", version: reply.version, text: "saved; not yet in force here" };
  }
  if (reply.outcome === "conflict") {
    const c = reply.conflicts[0];
    return {
      kind: "conflict",
      text: `conflict: yours ${column} ${c.mine[column]}, the other edit set weight ${c.theirs.weight}, limit ${c.theirs.limit}, upstream limit ${c.theirs.upstream_limit} (version ${c.theirs.version}). Edit again to replace it.`,
    };
  }
  return { kind: "problem", text: `${reply.outcome}: ${reply.message}. ${reply.remedy}` };
}

rowsBody.addEventListener("keydown", (e) => {
  if (editing) {
    if (e.key === "Enter") endEdit(true);
    else if (e.key === "Escape") endEdit(false);
    else return;
    e.preventDefault();
    return;
  }
  const td = e.target.closest("td[data-at]");
  if (!td) return;
  const steps = { ArrowLeft: [-1, 0], ArrowRight: [1, 0], ArrowUp: [0, -1], ArrowDown: [0, 1] };
  if (steps[e.key]) move(td, ...steps[e.key]);
  else if (e.key === "Enter" || e.key === "F2") beginEdit(td);
  else if (/^[0-9]$/.test(e.key)) beginEdit(td, e.key);
  else return;
  e.preventDefault();
});
rowsBody.addEventListener("dblclick", (e) => {
  const td = e.target.closest("td[data-at]");
  if (td && !editing) beginEdit(td);
});
rowsBody.addEventListener("focusout", (e) => {
  if (editing && e.target === editing.input && e.relatedTarget) endEdit(false);
});
login.addEventListener("submit", (e) => {
  e.preventDefault();
  sessionStorage.setItem("token", document.getElementById("token").value);
  login.hidden = true;
  refresh();
});

async function refresh() {
  try {
    [table, force] = await Promise.all([get("/v1/table"), get("/v1/in-force")]);
    render();
  } catch (e) {
    summary.textContent = `The state is not known: ${e.message}.`;
  }
}

refresh();
setInterval(refresh, POLL_MS);
